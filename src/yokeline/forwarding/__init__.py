"""Forwards callers' requests to engines: routes, limits, choice of engine, retries, resumption."""
