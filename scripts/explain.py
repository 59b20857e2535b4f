#!/usr/bin/env python3
"""Explains what became of a request, from the logs of sidecars.

Usage: explain.py REQUEST_ID [LOGFILE ...]

Prints the lines with this request id, then the lines that changed what the processes concerned
believed around that time. Without files, reads standard input. Exit code 1: the id is in no line.
"""

import datetime
import re
import sys

BEFORE = datetime.timedelta(seconds=2)
AFTER = datetime.timedelta(seconds=0.5)
BELIEF_MODULES = ("peers", "upstream", "config", "store", "sidecar", "log")
FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')


def parse(line):
    """Fields of a log line, or None if it is not one. Text before the line is ignored."""
    start = line.find("time=")
    if start < 0:
        return None
    fields = {key: value.strip('"') for key, value in FIELD.findall(line[start:])}
    try:
        fields["time"] = datetime.datetime.fromisoformat(fields["time"].replace("Z", "+00:00"))
    except (KeyError, ValueError):
        return None
    fields["text"] = line[start:].rstrip("\n")
    return fields


def belongs(fields, request):
    """Calls that a server makes for a request extend its id."""
    found = fields.get("request", "")
    return found == request or found.startswith(request + ".")


def explain(lines, request):
    """Returns the lines about the request, and those around it that changed a belief."""
    entries = [entry for entry in map(parse, lines) if entry]
    about = [entry for entry in entries if belongs(entry, request)]
    if not about:
        return [], []
    names = {entry.get("process") for entry in about} | {entry.get("node") for entry in about}
    start = min(entry["time"] for entry in about) - BEFORE
    end = max(entry["time"] for entry in about) + AFTER
    around = [
        entry
        for entry in entries
        if entry.get("module") in BELIEF_MODULES
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
