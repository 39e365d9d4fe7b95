"""A model engine without HTTP: continuous batching, prefix cache, holds, loads, orders."""
