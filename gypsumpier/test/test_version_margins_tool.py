"""Tests of what misc.version_margins tells of a bench run."""

import contextlib
import io
import json
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from misc import version_margins


class VersionMarginsToolTest(unittest.TestCase):
    def test_a_belief_that_a_peer_made_later_counts_among_the_errors(self) -> None:
        """Guards against a run that seems sound: only the first belief of each process counted."""
        wanted = {"event": "version_wanted", "version": 2, "named_ago_s": 0.4, "evidence": "proven"}
        corrected = wanted | {"event": "version_time_corrected", "named_ago_s": 0.5}
        lines = [
            "- version 2, named at 10.000 s",
            f"10.100 front-1 {json.dumps(wanted)}",
            f"12.000 front-1 {json.dumps(corrected)}",
        ]
        output = io.StringIO()
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "run.log"
            path.write_text("\n".join(lines))
            with (
                mock.patch.object(sys, "argv", ["version_margins", str(path)]),
                contextlib.redirect_stdout(output),
            ):
                version_margins.main()
        self.assertIn("+1.500 s", output.getvalue())


if __name__ == "__main__":
    unittest.main()
