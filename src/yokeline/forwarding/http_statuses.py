"""HTTP statuses that a forwarding node answers with or reads."""

from __future__ import annotations

OK = 200
PAYMENT_REQUIRED = 402
NOT_FOUND = 404
TOO_LARGE = 413
MISDIRECTED = 421
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504
SUCCESS = range(200, 300)
SERVER_ERROR = 500
