"""Checks of the values that several kinds of configuration objects have: names, labels, ranges."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable, Mapping

from returns.result import Failure, Success

from yokeline.addresses import parse_address
from yokeline.field_checks import FieldProblem
from yokeline.labels.selectors import (
    KEY_FORM,
    VALUE_FORM,
    is_label_key,
    is_label_value,
    parse_selector,
)

MAX_NAME_LENGTH = 63
MAX_LABELS = 64
MAX_ITEMS = 1000
MAX_MODEL_NAME_LENGTH = 128

NAME_FORM = "1 to 63 letters, digits, '-', '_' or '.', with a letter or digit at both ends"

_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9_.-]*[A-Za-z0-9])?")
_MODEL = re.compile(r"[!-~]+")

Problems = list[FieldProblem]


def is_object_name(text: str) -> bool:
    """Return whether ``text`` may name a configuration object."""
    return len(text) <= MAX_NAME_LENGTH and _NAME.fullmatch(text) is not None


def name_problems(field: str, name: str) -> Problems:
    """Return the problem of a name of an object, if any."""
    if is_object_name(name):
        return []
    return [FieldProblem(field, f"{name[:MAX_NAME_LENGTH]!r} is no name", f"write {NAME_FORM}")]


def name_list_problems(field: str, names: tuple[str, ...]) -> Problems:
    """Return the problems of a list of names: form, repetition, length."""
    problems = duplicate_problems(field, names)
    for position, name in enumerate(names):
        problems.extend(name_problems(f"{field}[{position}]", name))
    return problems


def model_problems(field: str, model: str) -> Problems:
    """Return the problem of a model's name, if any."""
    if len(model) <= MAX_MODEL_NAME_LENGTH and _MODEL.fullmatch(model):
        return []
    message = f"{model[:MAX_NAME_LENGTH]!r} is no model name"
    remedy = f"write 1 to {MAX_MODEL_NAME_LENGTH} visible ASCII characters"
    return [FieldProblem(field, message, remedy)]


def label_problems(labels: Mapping[str, str]) -> Problems:
    """Return the problems of labels: their number, keys and values."""
    problems: Problems = []
    if len(labels) > MAX_LABELS:
        message = f"{len(labels)} labels; at most {MAX_LABELS}"
        problems.append(FieldProblem("labels", message, "remove some"))
    for key, value in labels.items():
        if not is_label_key(key):
            message = f"{key[:MAX_NAME_LENGTH]!r} is no label key"
            problems.append(FieldProblem("labels", message, f"write {KEY_FORM}"))
        if not is_label_value(value):
            message = f"{value[:MAX_NAME_LENGTH]!r} is no label value"
            problems.append(FieldProblem(f"labels[{key!r}]", message, f"write {VALUE_FORM}"))
    return problems


def address_problems(addresses: tuple[str, ...]) -> Problems:
    """Return the problems of a list of ``ip:port``."""
    problems = duplicate_problems("addresses", addresses)
    for position, address in enumerate(addresses):
        parsed = parse_address(address)
        if isinstance(parsed, Failure):
            error = parsed.failure()
            problems.append(FieldProblem(f"addresses[{position}]", error.message, error.remedy))
    return problems


def selector_problems(field: str, selector: str) -> Problems:
    """Return the problem of a selector, if any."""
    parsed = parse_selector(selector)
    if isinstance(parsed, Success):
        return []
    error = parsed.failure()
    return [FieldProblem(field, error.message, error.remedy)]


def duplicate_problems(field: str, items: Iterable[str], *, shown: bool = True) -> Problems:
    """Return the problems of a list that is too long or has an item twice.

    Args:
        field: Path of the list.
        items: Its items.
        shown: Whether the message may show an item (not a digest of a token).
    """
    listed = list(items)
    if len(listed) > MAX_ITEMS:
        message = f"{len(listed)} items; at most {MAX_ITEMS}"
        return [FieldProblem(field, message, "remove some")]
    repeated = sorted({item for item in listed if listed.count(item) > 1})
    return [
        FieldProblem(
            field, f"{item!r} is there twice" if shown else "one is there twice", "remove one"
        )
        for item in repeated
    ]


def range_problems(field: str, number: float, lowest: float, highest: float) -> Problems:
    """Return the problem of a number that is not within the bounds (both allowed)."""
    if math.isfinite(number) and lowest <= number <= highest:
        return []
    message = f"{number} is not allowed; allowed is {lowest:g} to {highest:g}"
    return [FieldProblem(field, message, "correct it")]
