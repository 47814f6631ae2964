"""Fingerprints of requests, by which the repeats of one request are recognized."""

import hashlib

from bulrushflow.routing import Call

FINGERPRINT_BYTES = 16


def fingerprint(call: Call) -> str:
    """Return the fingerprint of a call's request, in hexadecimal.

    It covers who calls, and the host, method, path and body, but not the id, which each repeat has
    anew, and no key: fingerprints are published. The digest is collision-resistant, since a caller
    who could choose a request with the fingerprint of another one could have that refused.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    host = next((value for name, value in call.headers if name.lower() == "host"), "")
    for text in (call.tenant, host.lower(), call.method, call.path):
        data = text.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4, "big"))
        digest.update(data)
    if call.organisation:
        # Targets respond to each organisation differently, so its requests are its own.
        digest.update(call.organisation.encode("utf-8", "surrogateescape") + b"/")
    digest.update(call.body)
    return digest.hexdigest()
