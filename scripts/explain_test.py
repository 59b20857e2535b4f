#!/usr/bin/env python3
"""Tests of explain.py on recorded lines."""

import pathlib
import unittest

import explain

LINES = (pathlib.Path(__file__).parent / "testdata" / "explain.log").read_text().splitlines()
REQUEST = "1b83007b0c9a4736"


class ExplainTest(unittest.TestCase):
    def test_finds_decision_and_cause(self):
        """Guards against an order answered 502 whose lost connection is not shown."""
        about, around = explain.explain(LINES, REQUEST)
        self.assertTrue(any("event=failed" in it["text"] for it in about))
        self.assertTrue(any(it["module"] == "peers" and it["event"] == "down" for it in around))

    def test_other_requests_are_left_out(self):
        """Guards against lines of other requests that look like the cause."""
        about, around = explain.explain(LINES, REQUEST)
        for entry in about:
            self.assertTrue(entry["request"].startswith(REQUEST))
        for entry in around:
            self.assertNotIn("request", entry)

    def test_unknown_id_and_broken_lines(self):
        """Guards against a stop at lines that are no log lines."""
        self.assertEqual(([], []), explain.explain(["garbage", "time=never module=x", ""], "abc"))


if __name__ == "__main__":
    unittest.main()
