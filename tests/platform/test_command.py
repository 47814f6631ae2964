import pathlib
import subprocess
import sys
import tempfile
import unittest
from unittest import mock

from bulrushflow.platform import command
from bulrushflow.platform.settings import decode_settings
from tests.platform.test_settings import FILE

CHANGED = FILE.replace('service = "plots"', 'service = "payments"')


class ReloadTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "local.toml"
        self.path.write_text(FILE)
        patch = mock.patch.object(command, "settings_path", lambda: self.path)
        patch.start()
        self.addCleanup(patch.stop)
        self.sidecar = mock.Mock()

    def test_no_part_of_a_file_is_taken_for_the_whole(self) -> None:
        whole = decode_settings(FILE.encode())
        for size in range(len(FILE)):
            with self.subTest(size=size):
                part = decode_settings(FILE[:size].encode())
                self.assertTrue(part.is_err() or part == whole)

    async def test_a_file_that_is_half_written_keeps_the_settings_in_force(self) -> None:
        watcher = command.SettingsWatcher(self.sidecar)
        self.path.write_text(CHANGED[: len(CHANGED) // 2])
        await watcher.check()
        command._reload(self.sidecar)
        self.sidecar.reload.assert_not_called()
        self.path.write_text(CHANGED)
        await watcher.check()
        self.sidecar.reload.assert_called_once_with(decode_settings(CHANGED.encode()).unwrap())

    async def test_a_missing_file_keeps_the_settings_in_force(self) -> None:
        watcher = command.SettingsWatcher(self.sidecar)
        self.path.unlink()
        await watcher.check()
        self.sidecar.reload.assert_not_called()
        self.path.write_text(FILE)
        await watcher.check()
        self.sidecar.reload.assert_called_once()


class ImportTests(unittest.TestCase):
    def test_the_program_starts_no_other_while_it_is_imported(self) -> None:
        code = (
            "import sys\n"
            "def check(event, arguments):\n"
            "    if event in ('subprocess.Popen', 'os.fork', 'os.posix_spawn', 'os.exec'):\n"
            "        sys.stderr.write(f'{event} {arguments}')\n"
            "        sys.stderr.flush()\n"
            "        os._exit(1)\n"
            "import os\n"
            "sys.addaudithook(check)\n"
            "import bulrushflow.platform.command\n"
        )
        run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual((run.returncode, run.stderr), (0, ""))

    def test_modules_that_only_the_log_design_needs_are_not_loaded(self) -> None:
        code = (
            "import sys\n"
            "import bulrushflow.platform.command\n"
            "for name in ('configuration', 'membership', 'nodes', 'recording', 'targets'):\n"
            "    if f'bulrushflow.{name}' in sys.modules:\n"
            "        print(name)\n"
        )
        run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual((run.stdout, run.stderr), ("", ""))
