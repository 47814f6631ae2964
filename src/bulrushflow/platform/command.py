"""The program that runs a sidecar on the platform."""

import asyncio
import gc
import signal
import sys

from loguru import logger
from result import Err
from result import Ok

from bulrushflow.exit_statuses import EXIT_SETTINGS
from bulrushflow.logs import configure_bounded_logs
from bulrushflow.platform.adapter import PlatformAdapter
from bulrushflow.platform.settings import load_settings
from bulrushflow.platform.settings import settings_path
from bulrushflow.platform.store import PlatformStore
from bulrushflow.sidecar.application import Sidecar
from bulrushflow.sidecar.settings import SidecarSettings

GC_THRESHOLD = 20_000
"""Net allocations that trigger a collection of the youngest generation."""
GC_GENERATIONS = 10
SETTINGS_POLL_S = 2.0
"""Interval of the checks for a changed settings file."""


def main() -> None:
    """Run a sidecar until SIGTERM or SIGINT."""
    match load_settings(settings_path()):
        case Err(fault):
            print(fault, file=sys.stderr)
            sys.exit(EXIT_SETTINGS)
        case Ok(settings):
            asyncio.run(_run(settings))


async def _run(settings: SidecarSettings) -> None:
    configure_bounded_logs(settings.node_id)
    sidecar = Sidecar(settings, PlatformStore(settings.store), PlatformAdapter())
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, sidecar)
    await sidecar.start()
    sidecar.timers.subscribe("settings", SETTINGS_POLL_S, SettingsWatcher(sidecar).check)
    # What exists by now mostly stays; a collection first would find little and delay the start.
    gc.freeze()
    gc.enable()
    gc.set_threshold(GC_THRESHOLD, GC_GENERATIONS, GC_GENERATIONS)
    await stopping.wait()
    await sidecar.stop()


class SettingsWatcher:
    """Reloads settings that changed without a SIGHUP."""

    def __init__(self, sidecar: Sidecar) -> None:
        self._sidecar = sidecar
        self._last_stamp = self._file_stamp()

    async def check(self) -> None:
        """Reload the settings if the file's size or modification time changed."""
        stamp = self._file_stamp()
        if stamp != self._last_stamp:
            self._last_stamp = stamp
            _reload(self._sidecar)

    def _file_stamp(self) -> tuple[int, int] | None:
        try:
            stat = settings_path().stat()
        except OSError:
            # The file may be missing while it is replaced; the next check finds it.
            return None
        return stat.st_mtime_ns, stat.st_size


def _reload(sidecar: Sidecar) -> None:
    match load_settings(settings_path()):
        case Err(fault):
            logger.bind(reason=fault).warning("settings not reloaded")
        case Ok(settings):
            sidecar.reload(settings)
