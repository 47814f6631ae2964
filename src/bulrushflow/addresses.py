"""Parsing of addresses that settings and announcements name."""

import ipaddress

MAX_PORT = 65535


def parse_address(text: str) -> tuple[str, int] | None:
    """Return the address and port of ``IP:PORT``, or ``None`` if ``text`` is not of this form."""
    host, separator, port = text.rpartition(":")
    if not separator or not (port.isascii() and port.isdigit()) or len(port) > len(str(MAX_PORT)):
        return None
    if not 0 < int(port) <= MAX_PORT:
        return None
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return None
    return host, int(port)


__all__ = ["parse_address"]
