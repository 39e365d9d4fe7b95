"""Splits the target of an HTTP request, the same way for the network and the simulation."""

from __future__ import annotations

from urllib.parse import parse_qsl, urlsplit

MAX_QUERY_FIELDS = 100


def split_target(target: str) -> tuple[str, dict[str, str]]:
    """Return the path as it was sent (not percent-decoded) and the decoded query.

    The path stays encoded, because only its reader knows which of its slashes separate
    segments. Of a repeated query parameter the last value wins.

    Raises:
        ValueError: The target is no path, or has too many query parameters.
    """
    if not target.startswith("/"):
        target = _without_origin(target)
    path, _, query = target.partition("?")
    if not query:
        return path, {}
    return path, dict(parse_qsl(query, keep_blank_values=True, max_num_fields=MAX_QUERY_FIELDS))


def _without_origin(target: str) -> str:
    """Return the path and query of an absolute-form target (RFC 9112, section 3.2.2)."""
    parts = urlsplit(target)
    if not parts.scheme or not parts.netloc:
        raise ValueError("the request target is neither a path nor a whole URL")
    path = parts.path or "/"
    return f"{path}?{parts.query}" if parts.query else path
