"""Generates the classes of the messages between nodes from ``messages.thrift``.

Reading the thrift file at each start would take a fifth of the time that a node needs to start.
"""

import pathlib
import typing as t

import thriftpy2
from thriftpy2.thrift import TType

WIRE = pathlib.Path(__file__).parent.parent / "src" / "bulrushflow" / "wire"
SOURCE = WIRE / "messages.thrift"
GENERATED = WIRE / "generated_messages.py"
HEADER = '''"""Message classes, generated from ``messages.thrift`` by ``make messages``."""

from thriftpy2.thrift import TPayload
from thriftpy2.thrift import TType
'''


def generate() -> str:
    """Return the source of the module with a class for each struct, in the order of the file."""
    module = thriftpy2.load(str(SOURCE), module_name="messages_thrift")
    return HEADER + "".join(_class_source(struct) for struct in module.__thrift_meta__["structs"])


def _class_source(struct: t.Any) -> str:
    lines = ["", "", f"class {struct.__name__}(TPayload):"]
    if not struct.thrift_spec:
        return (
            "\n".join(
                [
                    *lines,
                    "    thrift_spec: dict[int, object] = {}",
                    "    default_spec: list[object] = []",
                ]
            )
            + "\n"
        )
    lines.append("    thrift_spec = {")
    lines += [f"        {i}: {_spec_source(spec)}," for i, spec in struct.thrift_spec.items()]
    lines += ["    }", "    default_spec = ["]
    lines += [f'        ("{name}", {value!r}),' for name, value in struct.default_spec]
    return "\n".join([*lines, "    ]"]) + "\n"


def _spec_source(spec: tuple[t.Any, ...]) -> str:
    kind, name, *inner, required = spec
    parts = [_type_source(kind), f'"{name}"', *map(_inner_source, inner), repr(required)]
    return f"({', '.join(parts)})"


def _inner_source(inner: t.Any) -> str:
    if isinstance(inner, tuple):
        return f"({', '.join([_type_source(inner[0]), *map(_inner_source, inner[1:])])})"
    return inner.__name__ if isinstance(inner, type) else _type_source(inner)


def _type_source(kind: int) -> str:
    return f"TType.{TType._VALUES_TO_NAMES[kind]}"


if __name__ == "__main__":
    GENERATED.write_text(generate(), encoding="utf-8")
