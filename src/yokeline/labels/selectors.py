"""Label selectors in the syntax of Kubernetes.

Requirements are joined by commas and must all hold: ``key=value`` (also ``==``),
``key!=value``, ``key in (a,b)``, ``key notin (a,b)``, ``key`` and ``!key``. As there, ``!=``
and ``notin`` also match where the key is absent, and the empty selector matches everything.
"""

from __future__ import annotations

import enum
import re
from collections.abc import Mapping

import msgspec
from returns.result import Failure, Result, Success

from yokeline.errors import ErrorKind, YokelineError

MAX_NAME_LENGTH = 63
MAX_PREFIX_LENGTH = 253
MAX_SELECTOR_LENGTH = 4096
KEY_FORM = (
    "up to 63 letters, digits, '-', '_' or '.', with a letter or digit at both ends, "
    "after an optional DNS prefix and '/'"
)
VALUE_FORM = "empty, or up to 63 letters, digits, '-', '_' or '.', a letter or digit at both ends"
SELECTOR_FORM = "'key=value', 'key!=value', 'key in (a,b)', 'key notin (a,b)', 'key' or '!key'"

_NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9_.-]*[A-Za-z0-9])?")
_DNS_LABEL = re.compile(r"[a-z0-9]([a-z0-9-]*[a-z0-9])?")
_TOKEN = re.compile(r"\s*(==|!=|[=!(),]|[^\s=!(),]+)")


class Operator(enum.Enum):
    """What a requirement asks of the value at its key."""

    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    NOT_EXISTS = "!"


class Requirement(msgspec.Struct, frozen=True):
    """One requirement; equality is ``IN`` or ``NOT_IN`` with a single value.

    Attributes:
        values: Sorted, without duplicates; empty for the two existence operators.
    """

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether the requirement holds for ``labels``."""
        if self.operator is Operator.EXISTS:
            return self.key in labels
        if self.operator is Operator.NOT_EXISTS:
            return self.key not in labels
        held = self.key in labels and labels[self.key] in self.values
        return held if self.operator is Operator.IN else not held

    def __str__(self) -> str:
        """Return the requirement in selector syntax."""
        if self.operator is Operator.EXISTS:
            return self.key
        if self.operator is Operator.NOT_EXISTS:
            return f"!{self.key}"
        if len(self.values) == 1:
            sign = "=" if self.operator is Operator.IN else "!="
            return f"{self.key}{sign}{self.values[0]}"
        return f"{self.key} {self.operator.value} ({','.join(self.values)})"


class Selector(msgspec.Struct, frozen=True):
    """A parsed selector: all requirements must hold."""

    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Return whether ``labels`` satisfy every requirement."""
        return all(requirement.matches(labels) for requirement in self.requirements)

    def first_unmet(self, labels: Mapping[str, str]) -> Requirement | None:
        """Return the first requirement that ``labels`` do not satisfy, None if all hold."""
        for requirement in self.requirements:
            if not requirement.matches(labels):
                return requirement
        return None

    def __str__(self) -> str:
        """Return the selector in its normal form, which parses to an equal one."""
        return ",".join(str(requirement) for requirement in self.requirements)


def is_label_key(text: str) -> bool:
    """Return whether ``text`` is a label key, such as ``team`` or ``club.example/team``."""
    prefix, separator, name = text.rpartition("/")
    if separator and not _is_dns_subdomain(prefix):
        return False
    return len(name) <= MAX_NAME_LENGTH and _NAME.fullmatch(name) is not None


def is_label_value(text: str) -> bool:
    """Return whether ``text`` is a label value (which may be empty)."""
    if not text:
        return True
    return len(text) <= MAX_NAME_LENGTH and _NAME.fullmatch(text) is not None


def _is_dns_subdomain(text: str) -> bool:
    if len(text) > MAX_PREFIX_LENGTH:
        return False
    parts = text.split(".")
    return all(len(p) <= MAX_NAME_LENGTH and _DNS_LABEL.fullmatch(p) for p in parts)


def parse_selector(text: str) -> Result[Selector, YokelineError]:
    """Parse a selector; the failure says where the text is wrong and what is allowed."""
    if len(text) > MAX_SELECTOR_LENGTH:
        message = f"a selector of {len(text)} characters; at most {MAX_SELECTOR_LENGTH}"
        return Failure(_bad_selector(message, "split it over several policies"))
    try:
        return Success(_Parser(text).parse())
    except _SelectorSyntaxError as found:
        return Failure(_bad_selector(found.message, found.remedy))


def _bad_selector(message: str, remedy: str) -> YokelineError:
    return YokelineError(kind=ErrorKind.BAD_REQUEST, message=message, remedy=remedy)


class _SelectorSyntaxError(Exception):
    """Leaves the parser at the first mistake."""

    def __init__(self, message: str, remedy: str = f"write {SELECTOR_FORM}, joined by ','") -> None:
        super().__init__(message)
        self.message = message
        self.remedy = remedy


class _Parser:
    """Recursive descent over the tokens of one selector."""

    def __init__(self, text: str) -> None:
        self._text = text
        self._tokens = [match[1] for match in _TOKEN.finditer(text)]
        self._position = 0

    def parse(self) -> Selector:
        if not self._tokens:
            return Selector()
        requirements = [self._requirement()]
        while self._peek() == ",":
            self._take()
            requirements.append(self._requirement())
        if self._peek():
            raise self._unexpected("',' or the end")
        return Selector(tuple(requirements))

    def _requirement(self) -> Requirement:
        if self._peek() == "!":
            self._take()
            return Requirement(self._key(), Operator.NOT_EXISTS)
        key = self._key()
        token = self._peek()
        if token in ("=", "=="):
            self._take()
            return Requirement(key, Operator.IN, (self._value(),))
        if token == "!=":
            self._take()
            return Requirement(key, Operator.NOT_IN, (self._value(),))
        if token in (Operator.IN.value, Operator.NOT_IN.value):
            self._take()
            return Requirement(key, Operator(token), self._value_set())
        return Requirement(key, Operator.EXISTS)

    def _value_set(self) -> tuple[str, ...]:
        self._expect("(")
        values = {self._value()}
        while self._peek() == ",":
            self._take()
            values.add(self._value())
        self._expect(")")
        return tuple(sorted(values))

    def _key(self) -> str:
        token = self._take()
        if not is_label_key(token):
            raise _SelectorSyntaxError(
                f"{self._quoted()} has {token!r} where a label key belongs",
                f"a key is {KEY_FORM}",
            )
        return token

    def _value(self) -> str:
        if self._peek() in ("", ",", ")"):
            return ""
        token = self._take()
        if not is_label_value(token):
            raise _SelectorSyntaxError(
                f"{self._quoted()} has {token!r} where a label value belongs",
                f"a value is {VALUE_FORM}",
            )
        return token

    def _peek(self) -> str:
        return self._tokens[self._position] if self._position < len(self._tokens) else ""

    def _take(self) -> str:
        token = self._peek()
        self._position += 1
        return token

    def _expect(self, token: str) -> None:
        if self._peek() != token:
            raise self._unexpected(repr(token))
        self._take()

    def _unexpected(self, expected: str) -> _SelectorSyntaxError:
        found = repr(self._peek()) if self._peek() else "the end"
        return _SelectorSyntaxError(f"{self._quoted()} has {found} where {expected} belongs")

    def _quoted(self) -> str:
        return f"selector {self._text!r}"
