#include "cowslipridge/config/BundleReader.hpp"

#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/config/internal/BlockingStore.hpp"
#include "cowslipridge/core/Error.hpp"

#include <optional>
#include <utility>

namespace cowslipridge::config {

namespace {

// A read is repeated when a content was deleted between the reads of manifest
// and content, because a newer manifest had retired it.
constexpr int MaxAttempts = 5;

/// Returns the bundle, or nothing when a content was deleted and the manifest
/// must be read again.
core::Result<std::optional<StoredBundle>>
readOnce(internal::BlockingStore &store) {
  const auto entry = store.get(std::string(ManifestKey));
  if (!entry.ok())
    return entry.error();
  StoredBundle found;
  if (!entry->has_value())
    return std::optional(found);
  auto manifest = decodeManifest((*entry)->Value);
  if (!manifest.ok())
    return manifest.error();
  found.Index = std::move(manifest).value();
  found.Services.Number = found.Index.Number;
  for (const auto &[name, item] : found.Index.Services) {
    if (item.Content.empty())
      continue;
    const auto stored = store.get(contentKey(item.Content));
    if (!stored.ok())
      return stored.error();
    if (!stored->has_value())
      return std::optional<StoredBundle>();
    auto content = decodeContent((*stored)->Value);
    if (!content.ok())
      return content.error();
    if (contentHash((*stored)->Value) != item.Content)
      return core::Errc::InvalidConfig;
    found.Services.Services.emplace(name, std::move(content).value().Service);
  }
  return std::optional(std::move(found));
}

} // namespace

core::Result<StoredBundle> readStoredBundle(backing::Store &store) {
  internal::BlockingStore blocking(store);
  for (int n = 0; n < MaxAttempts; ++n) {
    auto found = readOnce(blocking);
    if (!found.ok())
      return found.error();
    if (found->has_value())
      return **found;
  }
  return core::Errc::InvalidConfig;
}

} // namespace cowslipridge::config
