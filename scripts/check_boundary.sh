#!/usr/bin/env bash
# Fails if a name from the platform's wire formats occurs outside platform/. Tests and the stand-ins
# that emulate the platform are exempt.
set -eu
cd "$(dirname "$0")/.."
names='X-Expect-Instance|X-Caller-Service|X-Server-Load|X-Not-Executed|X-Response-Stamp|X-Instance-Id|X-Timeout-Ms|Server-Limit|Server-Leaving|Instances|portRange|appAddr|heartbeatS|pathPrefix|timeoutS|sloS|coldLeftS|maxConns|staleOk|waitMs|hasMore|asOf|valueBytes|budgetExtra|"born"|"metadata"|X-Credential|X-Tenant-Id|apiKeys|ratePerS'
if git grep -nwE "$names" -- src include ':!*_test.cc' ':!src/*/testing/*'; then
  echo "error: names from the platform's wire formats are used outside platform/" >&2
  exit 1
fi
