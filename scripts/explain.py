#!/usr/bin/env python3
"""Explains the outcome of a request from the logs of sidecars.

Usage: explain.py REQUEST_ID [LOGFILE ...]

Prints the log lines of this request, then the state changes that the involved processes logged
around that time. Without files, reads standard input. Exit code 1: no line has the request id.
"""

import datetime
import re
import sys

WINDOW_BEFORE = datetime.timedelta(seconds=2)
WINDOW_AFTER = datetime.timedelta(seconds=0.5)
STATE_MODULES = ("peers", "upstream", "config", "store", "sidecar", "log")
FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse_line(line):
    """Returns the fields of a log line, or None for other lines. Ignores text before `time=`."""
    start = line.find("time=")
    if start < 0:
        return None
    fields = {key: value.strip('"') for key, value in FIELD_PATTERN.findall(line[start:])}
    try:
        fields["time"] = datetime.datetime.fromisoformat(fields["time"].replace("Z", "+00:00"))
    except (KeyError, ValueError):
        return None
    fields["text"] = line[start:].rstrip("\n")
    return fields


def is_about_request(fields, request):
    """Whether the line is about the request or about a call that a server made for it.

    The ids of such calls are the id of the request with a suffix after a dot.
    """
    request_id = fields.get("request", "")
    return request_id == request or request_id.startswith(request + ".")


def explain(lines, request):
    """Returns the lines about the request, and the state changes around that time."""
    entries = [entry for entry in map(parse_line, lines) if entry]
    about = [entry for entry in entries if is_about_request(entry, request)]
    if not about:
        return [], []
    names = {entry.get("process") for entry in about} | {entry.get("node") for entry in about}
    start = min(entry["time"] for entry in about) - WINDOW_BEFORE
    end = max(entry["time"] for entry in about) + WINDOW_AFTER
    around = [
        entry
        for entry in entries
        if entry.get("module") in STATE_MODULES
        and "request" not in entry
        and start <= entry["time"] <= end
        and (entry.get("process") in names or entry.get("node") in names)
    ]
    key = lambda entry: entry["time"]
    return sorted(about, key=key), sorted(around, key=key)


def main(arguments):
    if not arguments or arguments[0] in ("-h", "--help"):
        print(__doc__.strip())
        return 0 if arguments else 2
    lines = []
    if len(arguments) == 1:
        lines = sys.stdin.readlines()
    for path in arguments[1:]:
        with open(path, encoding="utf-8", errors="replace") as file:
            lines += file.readlines()
    about, around = explain(lines, arguments[0])
    if not about:
        print(f"no line about request {arguments[0]}", file=sys.stderr)
        return 1
    print("decisions:")
    for entry in about:
        print("  " + entry["text"])
    print("what changed around it:")
    for entry in around:
        print("  " + entry["text"])
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
