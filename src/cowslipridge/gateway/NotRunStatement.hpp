#pragma once

namespace cowslipridge::gateway {

/// A runner's own statement that it did not run a request and never will.
///
/// Only a Translator makes one, from the field that carries it. Nothing else
/// that a peer sends says as much, whatever its status usually means.
class NotRunStatement {
public:
  friend bool operator==(const NotRunStatement &,
                         const NotRunStatement &) = default;

private:
  friend class Translator;
  NotRunStatement() = default;
};

} // namespace cowslipridge::gateway
