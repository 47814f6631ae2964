"""A raw target whose responses are scripted, and may have no end."""

import asyncio
import contextlib
import typing as t

_ID_HEADERS = ("x-id: ", "x-request-id: ")

Script = t.Callable[[asyncio.StreamReader, asyncio.StreamWriter], t.Awaitable[None]]


class EndlessTarget:
    """Runs a script on each connection, and counts the connections that the client has closed."""

    def __init__(self, script: Script) -> None:
        self.script = script
        self.opened = 0
        self.closed = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> tuple[str, int]:
        """Listen on a free port; return the address and the port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address, port = self._server.sockets[0].getsockname()[:2]
        return address, port

    async def stop(self) -> None:
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.opened += 1
        try:
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                await self.script(reader, writer)
                await reader.read()
            self.closed += 1
        finally:
            self._tasks.discard(task)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> str:
    """Read a request without a body; return the call's id."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    lines = head.split("\r\n")
    return next(line.split(": ")[1] for line in lines if line.lower().startswith(_ID_HEADERS))


async def flood(writer: asyncio.StreamWriter, unit: bytes) -> t.NoReturn:
    """Write ``unit`` as fast as the connection carries it, until the client closes it.

    :raises ConnectionError: when the client has closed the connection.
    """
    block = unit * max(1, 65536 // len(unit))
    while True:
        await _write(writer, block)
        await asyncio.sleep(0)


async def trickle(writer: asyncio.StreamWriter, unit: bytes) -> t.NoReturn:
    """Write ``unit`` byte by byte with pauses, until the client closes the connection.

    :raises ConnectionError: when the client has closed the connection.
    """
    while True:
        for byte in unit:
            await _write(writer, bytes([byte]))
            await asyncio.sleep(0.005)


async def _write(writer: asyncio.StreamWriter, data: bytes) -> None:
    writer.write(data)
    await writer.drain()
    if writer.transport.is_closing():
        raise ConnectionResetError("the client closed the connection")
