#!/usr/bin/env bash
# Reports names of the users' platform outside the adapter that translates them
# and the stand-ins that speak them.
set -euo pipefail
cd "$(dirname "$0")/.."
names='Attempt-Id|Deadline-Remaining|Last-Event-Id|Model-Name|Token-Usage'
names+='|Prompt-Prefix|Length-Hint|Expected-Instance|Tenant-Name'
names+='|Request-Priority|Response-Signature|Not-Executed|Estimate-Confidence'
names+='|Server-Leaving|Server-Limit|Kv-Fetch|kvBytes'
# Words that are also good names inside count only as the text of a field.
names+='|"(routeKind|pathPrefix|trafficSplit|streamResumption|apiKeys|sizes)"'
names+='|"(maxAttempts|targetLatencyMs|targetGapMs|kvCacheTokens|stride)"'
names+='|Store-Era|kv-range|kv-watch|kv-txn|kv-lease|kv-keep|expectedRevision'
names+='|op/evacuate|Cold-Remaining'
names+='|"(coldStartS|coldPerS|coldRemainingMs|allowedRegions)"'
names+='|op/config|op/rollout|status/rollout|durationS|in_progress|v1/readiness'
allowed='^(src/cowslipridge/platform|src/standins/platform|tests/(unit|property|integration|soak)/platform)/'
found=$(git ls-files -co --exclude-standard '*.cpp' '*.hpp' |
  grep -vE "$allowed" | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
  echo "$found"
  echo "platform names: the lines above belong into src/cowslipridge/platform"
  exit 1
fi
echo "platform names: clean"
