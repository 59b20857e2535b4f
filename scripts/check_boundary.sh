#!/usr/bin/env bash
# Fails if a name of the platform's wire formats stands outside platform/, other than in tests and
# in the stand-ins that play the platform.
set -eu
cd "$(dirname "$0")/.."
names='X-Expect-Instance|X-Caller-Service|X-Server-Load|X-Not-Executed|X-Response-Stamp|X-Instance-Id|X-Timeout-Ms|Instances|portRange|appAddr|heartbeatS|pathPrefix|timeoutS|sloS|coldLeftS|maxConns|staleOk|waitMs|hasMore|asOf|valueBytes|budgetExtra|"born"|"metadata"'
if git grep -nwE "$names" -- src include ':!*_test.cc' ':!src/*/testing/*'; then
  echo "names of the platform outside platform/" >&2
  exit 1
fi
