"""The build of the deployment, which installs packages into target/deps."""

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from unittest import TestCase

ROOT = Path(__file__).resolve().parent.parent
# Stands for python3: installs one file in place of packages, and counts its calls.
PYTHON = """#!/bin/sh
if [ "$1" = -c ]; then exec {python} "$@"; fi
echo call >> {folder}/calls
mkdir -p "$7"
echo 1 > "$7/package.py"
if [ -e {folder}/interrupt ]; then kill -TERM $PPID; fi
"""


class BuildTest(TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory(prefix="sassafraskeel-")
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        (self.folder / "deploy").mkdir()
        for name in ("build.sh", "requirements.txt"):
            shutil.copy(ROOT / "deploy" / name, self.folder / "deploy")
        python = self.folder / "python3"
        text = PYTHON.format(python=sys.executable, folder=self.folder)
        python.write_text(text, encoding="utf-8")
        python.chmod(0o755)

    def build(self):
        """Run the build; return its status and how many installations there were."""
        env = os.environ | {"PATH": f"{self.folder}{os.pathsep}{os.environ['PATH']}"}
        script = str(self.folder / "deploy" / "build.sh")
        status = subprocess.run(["sh", script], env=env, check=False).returncode
        return status, len((self.folder / "calls").read_text().split())

    def is_built(self):
        return (self.folder / "target" / "deps" / "package.py").exists()

    def test_second_build(self):
        """Guards against a build that installs what is there."""
        self.assertEqual(self.build(), (0, 1))
        self.assertEqual(self.build(), (0, 1))
        self.assertTrue(self.is_built())

    def test_interrupted_build(self):
        """Guards against hosts that don't start after a build that was cut off, as its
        folder passes for whole.
        """
        (self.folder / "interrupt").touch()
        status, _ = self.build()
        self.assertNotEqual(status, 0)
        self.assertFalse(self.is_built())
        (self.folder / "interrupt").unlink()
        self.assertEqual(self.build(), (0, 2))
        self.assertTrue(self.is_built())

    def test_folder_of_another_machine(self):
        """Guards against hosts that don't start with the libraries of another kind of
        machine, or those of a former list of packages.
        """
        self.build()
        (self.folder / "target" / "deps" / ".built").write_text("another")
        self.assertEqual(self.build(), (0, 2))
        with open(self.folder / "deploy" / "requirements.txt", "a") as requirements:
            requirements.write("another==1\n")
        self.assertEqual(self.build(), (0, 3))
