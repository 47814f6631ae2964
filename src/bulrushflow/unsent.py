"""What an HTTP server's connections have not sent yet."""

from aiohttp import web


def has_unsent(server: web.Server) -> bool:
    """Return whether the end of a response still waits in a connection's buffer of this process.

    A connection that the server has closed has no transport any more, and is listed until all is
    sent.
    """
    transports = [handler.transport for handler in server.connections]
    return any(transport is None or transport.get_write_buffer_size() for transport in transports)
