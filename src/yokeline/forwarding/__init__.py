"""Forwards callers' requests to engines: routing, limits, engine choice, retries, resumption."""
