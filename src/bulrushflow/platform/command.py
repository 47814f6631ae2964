"""The program that runs the sidecar on the platform."""

import asyncio
import gc
import signal
import sys

from loguru import logger
from result import Err
from result import Ok

from bulrushflow.logs import configure_bounded_logs
from bulrushflow.platform.adapter import PlatformAdapter
from bulrushflow.platform.settings import load_machine_settings
from bulrushflow.platform.settings import settings_path
from bulrushflow.platform.store import PlatformStore
from bulrushflow.sidecar.application import Sidecar
from bulrushflow.sidecar.settings import SidecarSettings

EXIT_SETTINGS = 2
GC_THRESHOLD = 20_000


def main() -> None:
    """Run a sidecar until it is told to stop."""
    match load_machine_settings(settings_path()):
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
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload)
    await sidecar.start()
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 10, 10)
    await stopping.wait()
    await sidecar.stop()


def _reload() -> None:
    match load_machine_settings(settings_path()):
        case Err(fault):
            logger.bind(reason=fault).warning("settings not reloaded")
        case Ok(_):
            logger.info("settings reloaded")
