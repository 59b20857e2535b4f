#!/usr/bin/env python3
"""Tests of explain.py on recorded log lines."""

import pathlib
import unittest

import explain

LINES = (pathlib.Path(__file__).parent / "testdata" / "explain.log").read_text().splitlines()
REQUEST = "1b83007b0c9a4736"


class ExplainTest(unittest.TestCase):
    def test_finds_decision_and_cause(self):
        """Guards against a 502 response whose cause, a lost connection, is not shown."""
        about, around = explain.explain(LINES, REQUEST)
        self.assertTrue(any("event=failed" in it["text"] for it in about))
        self.assertTrue(any(it["module"] == "peers" and it["event"] == "down" for it in around))

    def test_other_requests_are_left_out(self):
        """Guards against lines of other requests shown as part of the explanation."""
        about, around = explain.explain(LINES, REQUEST)
        for entry in about:
            self.assertTrue(entry["request"].startswith(REQUEST))
        for entry in around:
            self.assertNotIn("request", entry)

    def test_unknown_id_and_broken_lines(self):
        """Guards against an error on lines that are not log lines."""
        self.assertEqual(([], []), explain.explain(["garbage", "time=never module=x", ""], "abc"))


if __name__ == "__main__":
    unittest.main()
