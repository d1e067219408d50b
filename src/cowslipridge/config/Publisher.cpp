#include "cowslipridge/config/Publisher.hpp"

#include "cowslipridge/config/ContentHash.hpp"
#include "cowslipridge/config/DeclarationParser.hpp"
#include "cowslipridge/config/internal/BlockingStore.hpp"
#include "cowslipridge/core/Error.hpp"

#include <algorithm>
#include <utility>

namespace cowslipridge::config {

namespace {

using backing::SwapStatus;
using internal::BlockingStore;

constexpr int MaxAttempts = 20;

/// The manifest in the store, with its revision.
struct StoredManifest {
  Manifest Value;
  backing::Revision ModifiedAt = 0; ///< 0 when the store has no manifest
};

/// One service of the publication with its encoded content and hash.
struct PreparedService {
  ServiceDeclaration Service;
  std::string Text;
  std::string Hash;
};

/// One run of the publisher.
class Run {
public:
  Run(backing::Store &store, const Publication &wanted)
      : Store(store), Wanted(wanted) {}

  PublishResult publish() {
    for (const ServiceDeclaration &it : Wanted.Services)
      prepare(it);
    for (int n = 0; n < MaxAttempts; ++n) {
      const core::Result<StoredManifest> stored = readManifest();
      if (!stored.ok())
        return PublishFailed{stored.error(), ReplyLost};
      if (auto result = attempt(*stored))
        return *result;
    }
    return PublishFailed{core::Errc::StoreUnavailable, ReplyLost};
  }

private:
  void prepare(const ServiceDeclaration &service) {
    std::string text = encodeContent({Wanted.Id, service});
    std::string hash = contentHash(text);
    Prepared.push_back({service, std::move(text), std::move(hash)});
  }

  core::Result<StoredManifest> readManifest() {
    const auto entry = Store.get(std::string(ManifestKey));
    if (!entry.ok())
      return entry.error();
    if (!entry->has_value())
      return StoredManifest{};
    auto manifest = decodeManifest((*entry)->Value);
    if (!manifest.ok())
      return manifest.error();
    return StoredManifest{std::move(manifest).value(), (*entry)->ModifiedAt};
  }

  /// Tries once to swap the manifest. Returns nothing when the manifest must be
  /// read again.
  std::optional<PublishResult> attempt(const StoredManifest &stored) {
    if (const auto number = findOwnChange(stored.Value))
      return Published{*number};
    if (auto refusal = checkBase(stored))
      return *refusal;
    if (auto conflict = findConflict(stored.Value))
      return *conflict;
    if (const std::error_code ec = readServices(stored.Value))
      return PublishFailed{ec, ReplyLost};
    const std::vector<const PreparedService *> changed = changedServices();
    const std::vector<core::ServiceId> removed = removedServices(stored.Value);
    if (changed.empty() && removed.empty())
      return AlreadyInForce{stored.Value.Number};
    if (auto refusal = checkMergedServices())
      return *refusal;
    for (const PreparedService *it : changed) {
      if (!writeContent(*it))
        return PublishFailed{core::Errc::StoreUnavailable, ReplyLost};
    }
    return swap(stored, buildManifest(stored, changed, removed));
  }

  /// Returns the generation of this publication when an earlier attempt, whose
  /// reply was lost, took effect.
  [[nodiscard]] std::optional<core::Generation>
  findOwnChange(const Manifest &manifest) const {
    for (const auto &[name, entry] : manifest.Services) {
      if (entry.Publication == Wanted.Id)
        return entry.ChangedAt;
    }
    return std::nullopt;
  }

  std::optional<PublishResult> checkBase(const StoredManifest &stored) {
    if (!Base)
      Base = Wanted.Base.value_or(stored.Value.Number);
    // A store that lost its manifest gets a new one with a generation above the
    // given base.
    if (stored.ModifiedAt == 0 || *Base <= stored.Value.Number)
      return std::nullopt;
    PublishRefused refusal;
    refusal.Reasons.add(
        {.File = "",
         .Line = 0,
         .Section = "",
         .Key = "base",
         .Message = "generation " + std::to_string(Base->value()) +
                    " was never published",
         .Suggestion = "a generation up to " +
                       std::to_string(stored.Value.Number.value())});
    return refusal;
  }

  [[nodiscard]] std::optional<PublishResult>
  findConflict(const Manifest &manifest) const {
    std::vector<core::ServiceId> touched = Wanted.Removed;
    for (const ServiceDeclaration &it : Wanted.Services)
      touched.push_back(it.Name);
    for (const core::ServiceId &it : touched) {
      const auto entry = manifest.Services.find(it);
      if (entry == manifest.Services.end() || entry->second.ChangedAt <= *Base)
        continue;
      return PublishConflict{it, entry->second.ChangedAt,
                             entry->second.Publisher, ReplyLost};
    }
    return std::nullopt;
  }

  /// Reads the declarations in force that this run has not read yet.
  std::error_code readServices(const Manifest &manifest) {
    std::map<core::ServiceId, ServiceDeclaration> services;
    for (const auto &[name, entry] : manifest.Services) {
      if (entry.Content.empty())
        continue;
      if (!Contents.contains(entry.Content)) {
        const auto stored = Store.get(contentKey(entry.Content));
        if (!stored.ok())
          return stored.error();
        if (!stored->has_value())
          continue; // Lost by the store; publishing the service restores it.
        auto content = decodeContent((*stored)->Value);
        if (!content.ok())
          continue;
        Contents.emplace(entry.Content, std::move(content).value().Service);
      }
      services.emplace(name, Contents.at(entry.Content));
    }
    InForce = std::move(services);
    return {};
  }

  [[nodiscard]] std::vector<const PreparedService *> changedServices() const {
    std::vector<const PreparedService *> changed;
    for (const PreparedService &it : Prepared) {
      const auto current = InForce.find(it.Service.Name);
      if (current == InForce.end() || current->second != it.Service)
        changed.push_back(&it);
    }
    return changed;
  }

  [[nodiscard]] std::vector<core::ServiceId>
  removedServices(const Manifest &manifest) const {
    std::vector<core::ServiceId> removed;
    for (const core::ServiceId &it : Wanted.Removed) {
      const auto entry = manifest.Services.find(it);
      if (entry != manifest.Services.end() && !entry->second.Content.empty())
        removed.push_back(it);
    }
    return removed;
  }

  /// Checks the services that would be in force together for contradictions.
  [[nodiscard]] std::optional<PublishResult> checkMergedServices() const {
    std::map<core::ServiceId, ServiceDeclaration> merged = InForce;
    for (const PreparedService &it : Prepared)
      merged.insert_or_assign(it.Service.Name, it.Service);
    for (const core::ServiceId &it : Wanted.Removed)
      merged.erase(it);
    std::vector<DeclarationFile> files;
    files.reserve(merged.size());
    for (const auto &[name, service] : merged)
      files.push_back({"service " + name.str(), service});
    PublishRefused refusal;
    checkConsistency(files, refusal.Reasons);
    if (refusal.Reasons.empty())
      return std::nullopt;
    return refusal;
  }

  /// Retries after a lost reply, which is safe: a content is immutable and its
  /// key is its hash.
  bool writeContent(const PreparedService &service) {
    const std::string key = contentKey(service.Hash);
    for (int n = 0; n < MaxAttempts; ++n) {
      const SwapStatus status = Store.compareAndSwap(key, service.Text, 0);
      if (status == SwapStatus::Swapped || status == SwapStatus::Mismatch)
        return true;
      if (status == SwapStatus::Unavailable)
        return false;
    }
    return false;
  }

  Manifest buildManifest(const StoredManifest &stored,
                         const std::vector<const PreparedService *> &changed,
                         const std::vector<core::ServiceId> &removed) {
    Manifest next = stored.Value;
    next.Number = std::max(stored.Value.Number, *Base).next();
    next.Retired = deleteRetired(stored.Value.Retired);
    for (const PreparedService *it : changed)
      replaceEntry(next, it->Service.Name, it->Hash);
    for (const core::ServiceId &it : removed)
      replaceEntry(next, it, "");
    return next;
  }

  void replaceEntry(Manifest &manifest, const core::ServiceId &name,
                    const std::string &hash) const {
    ManifestEntry &entry = manifest.Services[name];
    if (!entry.Content.empty())
      manifest.Retired.push_back(entry.Content);
    entry = {hash, manifest.Number, Wanted.Publisher, Wanted.Id};
  }

  /// Deletes the contents that were retired when the manifest was read; they
  /// can never be used again. Returns those that could not be deleted.
  std::vector<std::string>
  deleteRetired(const std::vector<std::string> &retired) {
    std::vector<std::string> remaining;
    for (const std::string &hash : retired) {
      const std::string key = contentKey(hash);
      const auto stored = Store.get(key);
      if (stored.ok() && !stored->has_value())
        continue;
      if (!stored.ok() || Store.compareAndDelete(key, (*stored)->ModifiedAt) !=
                              SwapStatus::Swapped)
        remaining.push_back(hash);
    }
    return remaining;
  }

  std::optional<PublishResult> swap(const StoredManifest &stored,
                                    const Manifest &next) {
    const SwapStatus status = Store.compareAndSwap(
        std::string(ManifestKey), encodeManifest(next), stored.ModifiedAt);
    switch (status) {
    case SwapStatus::Swapped:
      return Published{next.Number};
    case SwapStatus::Mismatch:
      return std::nullopt;
    case SwapStatus::LostReply:
      ReplyLost = true;
      return std::nullopt;
    case SwapStatus::Unavailable:
      break;
    }
    return PublishFailed{core::Errc::StoreUnavailable, ReplyLost};
  }

  BlockingStore Store;
  const Publication &Wanted;
  std::vector<PreparedService> Prepared;
  std::optional<core::Generation> Base;
  std::map<std::string, ServiceDeclaration> Contents; ///< by content hash
  std::map<core::ServiceId, ServiceDeclaration> InForce;
  bool ReplyLost = false;
};

} // namespace

Publisher::Publisher(backing::Store &store) : Store(store) {}

PublishResult Publisher::publish(const Publication &publication) {
  return Run(Store, publication).publish();
}

} // namespace cowslipridge::config
