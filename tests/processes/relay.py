"""A TCP relay that can discard all bytes in both directions of its open connections."""

import asyncio

CHUNK_BYTES = 65536


class Relay:
    """Forwards connections to a local port.

    :meth:`silence` affects only connections that are already open; later ones are forwarded.
    """

    def __init__(self, target_port: int) -> None:
        self.port = 0
        self.opened = 0
        self.target_port = target_port
        self._last_silenced = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self) -> None:
        """Listen on a port assigned by the system."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Close the listener and every connection."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.close()
        await asyncio.gather(*self._tasks)

    def silence(self) -> None:
        """Discard all further bytes on the open connections, without closing them."""
        self._last_silenced = self.opened

    async def _accept(
        self, client_reader: asyncio.StreamReader, client_writer: asyncio.StreamWriter
    ) -> None:
        self.opened += 1
        number = self.opened
        target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
        self._writers += [client_writer, target_writer]
        for reader, writer in ((client_reader, target_writer), (target_reader, client_writer)):
            task = asyncio.create_task(self._forward(number, reader, writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(CHUNK_BYTES):
                if number > self._last_silenced:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            pass
        # The close of a silenced connection is not forwarded either.
        if number > self._last_silenced:
            writer.close()
