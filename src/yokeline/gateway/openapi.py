"""The OpenAPI 3.1 document of the API, made from the route table.

``python -m yokeline.gateway.openapi > docs/openapi.json`` writes the copy in the documents.
"""

from __future__ import annotations

import functools
import re
from typing import Any

import msgspec

from yokeline import __version__
from yokeline.gateway.answers import RunAnswer
from yokeline.gateway.problems import PROBLEM_TYPE, Problem
from yokeline.gateway.routes import ROUTES, Access, Route
from yokeline.labels.objects import OBJECT_TYPES

OPENAPI_VERSION = "3.1.0"
REFERENCE_TEMPLATE = "#/components/schemas/{name}"
_VARIABLE = re.compile(r"\{(\w+)\}")


def build_document() -> dict[str, Any]:
    """Return the document as JSON-ready data."""
    bodies = [route.body for route in ROUTES if route.body is not None]
    _, components = msgspec.json.schema_components(
        [*bodies, RunAnswer, Problem, *OBJECT_TYPES.values()], ref_template=REFERENCE_TEMPLATE
    )
    paths: dict[str, dict[str, Any]] = {}
    for route in ROUTES:
        paths.setdefault(route.template, {})[route.method.lower()] = _operation(route)
    return {
        "openapi": OPENAPI_VERSION,
        "info": {"title": "yokeline", "version": __version__},
        "paths": paths,
        "components": {
            "schemas": components,
            "securitySchemes": {"token": {"type": "http", "scheme": "bearer"}},
        },
    }


@functools.cache
def openapi_json() -> bytes:
    """Return the document as indented JSON."""
    return msgspec.json.format(msgspec.json.encode(build_document(), order="sorted"), indent=2)


def _operation(route: Route) -> dict[str, Any]:
    parameters = [_parameter(name, "path") for name in _VARIABLE.findall(route.template)]
    parameters += [_parameter(name, "query") for name in route.query]
    parameters += [_parameter(name, "header") for name in route.headers]
    operation: dict[str, Any] = {
        "operationId": route.handler,
        "summary": route.summary,
        "parameters": parameters,
        "responses": {
            "2XX": {"description": "Success"},
            "default": {
                "description": "A problem with kind and remedy (RFC 9457)",
                "content": {PROBLEM_TYPE: {"schema": _reference("Problem")}},
            },
        },
    }
    if route.access is not Access.OPEN:
        operation["security"] = [{"token": []}]
    if route.body is not None:
        schema = _reference(route.body.__name__)
        operation["requestBody"] = {
            "required": True,
            "content": {"application/json": {"schema": schema}},
        }
    return operation


def _parameter(name: str, place: str) -> dict[str, Any]:
    return {"name": name, "in": place, "required": place == "path", "schema": {"type": "string"}}


def _reference(name: str) -> dict[str, str]:
    return {"$ref": REFERENCE_TEMPLATE.format(name=name)}


if __name__ == "__main__":
    print(openapi_json().decode())
