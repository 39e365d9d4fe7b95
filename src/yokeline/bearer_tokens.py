"""Bearer tokens (RFC 6750): read from a header field, kept as digests.

Tokens are long random strings, so a plain digest is enough, and equal tokens have equal digests
at all nodes.
"""

from __future__ import annotations

import hashlib

BEARER = "bearer"


def read_bearer_token(authorization: str) -> str:
    """Return the token in an ``Authorization`` field; empty if it holds none."""
    scheme, _, token = authorization.strip().partition(" ")
    return token.strip() if scheme.lower() == BEARER else ""


def token_digest(token: str) -> str:
    """Return the SHA-256 of a token in lower-case hex."""
    return hashlib.sha256(token.encode()).hexdigest()
