#!/usr/bin/env python3
"""Generates docs/PROOF.md from docs/proofs.json.

With --check, writes nothing and fails if the page is out of date, if a guarantee or fault of
docs/design.md has no row, if a row claims more than its tests support, or if a named test is not
registered in the test programs of the build directory (BUILD_DIR, default build).
"""

import argparse
import json
import os
import pathlib
import re
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SOURCE = ROOT / "docs" / "proofs.json"
PAGE = ROOT / "docs" / "PROOF.md"
DESIGN = ROOT / "docs" / "design.md"
STATES = ("proved", "partial", "not proved")
LIST_TIMEOUT_S = 30

HEADER = """# Proofs

Generated from `proofs.json` by `scripts/proof_page.py`; edit the source, not this page.
`scripts/proof_page.py --check` fails if the two differ or if a named test does not exist.

A test is **proved** when it was seen failing after the decision that it guards was broken on purpose
(the mutation). It is **partial** when it passes but was not seen failing, or when the mutation shows
only a part, and **not proved** while it is planned. A row of the first table is proved only if nothing
is missing and all of its tests are proved. Commands start at the root of the repository after
`scripts/test.sh`.
"""


def read_statements():
    """Returns the texts of the guarantees and faults in the design page, by id."""
    text = DESIGN.read_text(encoding="utf-8")
    found = dict(re.findall(r"^\| (P\d+) \| (.+?) \|$", text, re.MULTILINE))
    faults = text.split("### 1.5 Faults", 1)[1].split("### 1.6", 1)[0]
    faults = " ".join(faults.split())
    for name, statement in re.findall(r"\b(F\d+) (.+?)(?=; F\d+ |\. ?$|\.$)", faults):
        found[name] = statement
    return found


def cell(text):
    return text.replace("|", "\\|") if text else "-"


def command(proof):
    return f"`{proof['path']} {proof['test']}`" if "path" in proof else "-"


def summary_row(item, statement):
    return f"| [{item['id']}](#{item['id'].lower()}) | {cell(statement)} | {item['state']} | {cell(item['missing'])} |"


def proof_row(proof):
    name = proof["program"] + (f": {proof['test']}" if "test" in proof else "")
    columns = [
        f"`{name}`",
        cell(proof["covers"]),
        command(proof),
        cell(proof.get("mutation")),
        proof["state"],
        cell(proof.get("missing")),
    ]
    return "| " + " | ".join(columns) + " |"


def render(items, statements):
    lines = [HEADER, "| Id | Statement | State | Missing |", "|---|---|---|---|"]
    lines += [summary_row(it, statements.get(it["id"], "")) for it in items]
    for it in items:
        lines += ["", f"## {it['id']}", "", statements.get(it["id"], ""), ""]
        lines += ["| Test | Covers | Command | Mutation caught | State | Missing |"]
        lines += ["|---|---|---|---|---|---|"]
        lines += [proof_row(proof) for proof in it["proofs"]]
    return "\n".join(lines) + "\n"


def check_states(items):
    """Checks that every state is valid, "proved" names a caught mutation, and every gap is named."""
    faults = []
    for it in items:
        for proof in it["proofs"]:
            place = f"{it['id']}: {proof['program']}: {proof.get('test', 'planned')}"
            if proof["state"] not in STATES:
                faults.append(f"{place}: state {proof['state']!r} is not one of {STATES}")
            if proof["state"] == "proved" and not proof.get("mutation"):
                faults.append(f"{place}: is called proved without a mutation")
            if proof["state"] != "proved" and not proof.get("missing"):
                faults.append(f"{place}: does not say what is missing")
            if proof.get("planned") and proof["state"] != "not proved":
                faults.append(f"{place}: a planned test proves nothing")
            if not proof.get("planned") and "test" not in proof:
                faults.append(f"{place}: names no test")
        whole = it["proofs"] and all(proof["state"] == "proved" for proof in it["proofs"])
        if it["state"] not in STATES:
            faults.append(f"{it['id']}: state {it['state']!r} is not one of {STATES}")
        if it["state"] == "proved" and (it["missing"] or not whole):
            faults.append(f"{it['id']}: is called proved, but something is missing")
        if it["state"] != "proved" and not it["missing"]:
            faults.append(f"{it['id']}: does not say what is missing")
        if it["state"] == "partial" and not any(p["state"] == "proved" for p in it["proofs"]):
            faults.append(f"{it['id']}: is called partial, but no test is proved")
    return faults


def check_ids(items, statements):
    ids = [it["id"] for it in items]
    faults = [f"{it}: is in the design page and has no row" for it in statements if it not in ids]
    faults += [f"{it}: is not in the design page" for it in ids if it not in statements]
    faults += [f"{it}: has two rows" for it in sorted(set(ids)) if ids.count(it) > 1]
    return faults


def registered(build, path):
    program = build / pathlib.Path(path).relative_to("build")
    if not program.exists():
        return None
    done = subprocess.run(
        [str(program), "--list"], capture_output=True, text=True, timeout=LIST_TIMEOUT_S, check=True
    )
    return set(done.stdout.split("\n"))


def check_tests(items, build):
    faults = []
    known = {}
    for it in items:
        for proof in it["proofs"]:
            if proof.get("planned") or "test" not in proof:
                continue
            path = proof["path"]
            if path not in known:
                known[path] = registered(build, path)
            if known[path] is None:
                faults.append(f"{it['id']}: {path} is not built")
            elif proof["test"] not in known[path]:
                faults.append(f"{it['id']}: {proof['program']} has no test {proof['test']}")
    return faults


def load():
    """Returns the items of the source and adds the path of the test program to each proof."""
    source = json.loads(SOURCE.read_text(encoding="utf-8"))
    for it in source["items"]:
        for proof in it["proofs"]:
            if proof["program"] in source["programs"]:
                proof["path"] = source["programs"][proof["program"]]
            elif not proof.get("planned"):
                sys.exit(f"{it['id']}: program {proof['program']} has no path in {SOURCE.name}")
    return source["items"]


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="check only, write nothing")
    check_only = parser.parse_args().check
    items = load()
    statements = read_statements()
    faults = check_ids(items, statements) + check_states(items)
    page = render(items, statements)
    if check_only:
        build = ROOT / os.environ.get("BUILD_DIR", "build")
        faults += check_tests(items, build)
        if not PAGE.exists() or PAGE.read_text(encoding="utf-8") != page:
            faults.append(f"{PAGE.name}: differs from {SOURCE.name}; run scripts/proof_page.py")
    elif not faults:
        PAGE.write_text(page, encoding="utf-8")
    for it in faults:
        print(it, file=sys.stderr)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
