"""Names the request that several attempts of a caller have in common.

Each attempt of a caller has a request id of its own. Two attempts are the same request if the same
program sends the same content from the same place of a session. Requests without a program are told
apart by their tenant and content alone, and strangers may send the same one: such a name is shared,
and less may be concluded from it. The digest is cryptographic, so that no tenant can make a request
that is taken for another tenant's.
"""

from __future__ import annotations

import hashlib

from yokeline.forwarding.exchange import Exchange
from yokeline.forwarding.http_helpers import host_of
from yokeline.losses.loss_keys import SHARED_MARK

_SEPARATOR = b"\x00"
_DIGEST_BYTES = 12


def request_digest(exchange: Exchange) -> str:
    """Return the name of a request over its attempts.

    The event after which a stream is resumed and what is left of the deadline differ between
    attempts, and are left out.
    """
    names = exchange.names
    incoming = exchange.incoming
    target = incoming.target or incoming.path
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    has_program = bool(exchange.call.program)
    owner = exchange.tenant_name or exchange.call.credential or ""
    for part in (
        *((names.program, names.session) if has_program else ("", owner)),
        names.previous_turn,
        incoming.method,
        host_of(incoming),
        target,
    ):
        digest.update(part.encode())
        digest.update(_SEPARATOR)
    digest.update(incoming.body)
    return digest.hexdigest() + ("" if has_program else SHARED_MARK)
