"""The sheet and settings commands of operators."""

import contextlib
import io
import json
import tempfile
from pathlib import Path
from unittest import TestCase

from sassafraskeel.core.errors import SassafraskeelError
from sassafraskeel.core.net import Address
from sassafraskeel.core.settings import PlatformSection
from sassafraskeel.emulators.platform import PlatformEmulator
from sassafraskeel.operators import sheet_actions
from sassafraskeel.operators.cli import main
from sassafraskeel.operators.results import failure_result
from sassafraskeel.operators.sheet_actions import SheetFile
from sassafraskeel.store.key_value import PlatformClient
from tests.support.clock import run_virtual
from tests.support.network import MemoryNetwork

ANY_PORT = Address("127.0.0.1", 0)
SHEET = """kind,name,domain,address,service,type,regions,home
domain,a,,,,,r,
domain,b,,,,,q,
service,chat,,,,model,r q,
service,desk,,,,plain,r q,
workspace,shop,,,,,r q,a
upstream,chat-1,a,127.0.0.1:1,chat,,,
upstream,desk-1,a,127.0.0.1:2,desk,,,
"""
EMPTIED = SHEET.replace("upstream,desk-1,a,127.0.0.1:2,desk,,,\n", "")
MOVED = SHEET.replace("r q,a", "r q,b")
NARROWED = SHEET.replace("workspace,shop,,,,,r q", "workspace,shop,,,,,r")


class SheetActionsTest(TestCase):
    def test_accept(self):
        """Guards against sheets that are accepted although they must be refused."""

        async def run(clock):
            network = MemoryNetwork()
            platform = PlatformEmulator(clock, network, ANY_PORT)
            await platform.start()
            cfg = PlatformSection(address=platform.address)
            store = PlatformClient(cfg, clock, network)

            async def accept(text, allow_empty=False, again=False):
                file = SheetFile("s.csv", text.encode())
                before = dict(platform.values)
                try:
                    result = await sheet_actions.accept(
                        store, file, clock.now(), allow_empty, again
                    )
                except SassafraskeelError as exc:
                    self.assertEqual(platform.values, before)
                    return failure_result(exc).exit_status, type(exc).__name__
                return result.exit_status, result.content["version"]

            self.assertEqual(await accept(SHEET), (0, 1))
            self.assertEqual(await accept(SHEET), (0, 1))
            self.assertEqual(await accept(EMPTIED), (1, "SheetEmpties"))
            self.assertEqual(await accept(EMPTIED, True), (0, 2))
            self.assertEqual(await accept(MOVED, True), (1, "HomeMoved"))
            self.assertEqual(await accept(SHEET), (1, "SheetReplaced"))
            self.assertEqual(await accept(SHEET, again=True), (0, 3))
            del platform.values["sheet/3"]
            self.assertEqual(await accept(SHEET), (0, 4))
            self.assertEqual(await accept(SHEET), (0, 4))
            self.assertEqual(await accept("kind\n"), (2, "InvalidInput"))
            file = SheetFile("s.csv", NARROWED.encode())
            plan = await sheet_actions.plan(store, file, clock.now())
            self.assertEqual(
                plan.content["narrowed"], ("workspace shop: no longer in q",)
            )
            platform.down = True
            self.assertEqual(await accept(NARROWED), (3, "PlatformUnavailable"))
            await platform.close()

        run_virtual(run)


class CommandLineTest(TestCase):
    def run_command(self, *argv):
        output = io.StringIO()
        code = 0
        with contextlib.redirect_stdout(output), contextlib.redirect_stderr(output):
            try:
                main([*argv])
            except SystemExit as exc:
                code = exc.code
        return code, output.getvalue()

    def test_exit_status(self):
        """Guards against a failed command that exits with the status of success."""
        with tempfile.TemporaryDirectory() as folder:
            good, bad = Path(folder, "good.csv"), Path(folder, "bad.csv")
            good.write_text(SHEET, encoding="utf-8")
            bad.write_text(SHEET.replace("upstream,c", "upstraem,c"), encoding="utf-8")
            self.assertEqual(self.run_command("sheet", "check", str(good))[0], 0)
            code, text = self.run_command("sheet", "check", str(bad), "--json")
            self.assertEqual(code, 2)
            fault = json.loads(text)["faults"][0]
            self.assertEqual((fault["line"], fault["found"]), (7, "upstraem"))
            self.assertIn("'upstream'", fault["allowed"])
            self.assertEqual(self.run_command("settings", "check", str(bad))[0], 2)
        nobody = ("--platform", "127.0.0.1:1")
        self.assertEqual(self.run_command("sheet", "history", *nobody)[0], 3)
        self.assertEqual(self.run_command("sheet", "status", *nobody)[0], 3)

    def test_help(self):
        """Guards against commands without a help text and an example."""
        commands = [("settings", name) for name in ("check", "show")]
        names = ("check", "plan", "accept", "history", "status")
        for command in commands + [("sheet", name) for name in names]:
            with self.subTest(command):
                code, text = self.run_command(*command, "--help")
                self.assertEqual(code, 0)
                self.assertIn("Example: sassafraskeel", text)
