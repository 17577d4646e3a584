"""Names that leave the process are still in the code."""

import ast
import pathlib

import attrs
import pytest

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "beryljunction"
LIST = pathlib.Path(__file__).parent / "external_names.txt"


@attrs.define
class Names:
    """Names in the source code, by the way in which they leave the process."""

    fields: set = attrs.field(factory=set)
    options: set = attrs.field(factory=set)
    log_fields: set = attrs.field(factory=set)
    texts: set = attrs.field(factory=set)
    classes: set = attrs.field(factory=set)

    def read(self, tree, is_command):
        for node in ast.walk(tree):
            match node:
                case ast.ClassDef():
                    self.classes.add(node.name)
                    self.fields.update(_fields_of(node))
                case ast.FunctionDef() | ast.AsyncFunctionDef() if is_command:
                    arguments = [*node.args.args, *node.args.kwonlyargs, node.args.vararg]
                    self.options.update(row.arg for row in arguments if row is not None)
                    self.options.add(node.name)
                case ast.Call(func=ast.Attribute(attr="write" | "write_refused")):
                    self.log_fields.update(row.arg for row in node.keywords)
                case ast.Constant(value=str()):
                    self.texts.add(node.value)
                case ast.Constant(value=bytes()):
                    self.texts.add(node.value.decode("latin-1"))


def _fields_of(node):
    if not any("attrs." in ast.unparse(row) for row in node.decorator_list):
        return
    for row in node.body:
        if isinstance(row, ast.AnnAssign):
            yield row.target.id


def read_source():
    names = Names()
    for path in SOURCE.rglob("*.py"):
        names.read(ast.parse(path.read_text("utf-8")), path.parent.name == "cli")
    return names


def read_list():
    """Return the names of the list by the heading above them."""
    rows = {}
    for line in LIST.read_text("utf-8").splitlines():
        if line.startswith("#"):
            rows[line] = names = []
        else:
            names.append(line)
    return rows


class TestExternalNames:
    @pytest.mark.parametrize(
        ("heading", "kind"),
        [
            ("# Fields of messages, records, settings, reports and switches", "fields"),
            ("# Commands and options of the programs", "options"),
            ("# Fields of log events", "log_fields"),
            ("# Texts", "texts"),
            ("# Classes", "classes"),
        ],
    )
    def test_each_listed_name_is_in_the_code(self, heading, kind):
        """A rename changes a name that clients, peers, stored data or operators rely on."""
        (listed,) = [rows for line, rows in read_list().items() if line.startswith(heading)]

        assert listed
        assert sorted(set(listed) - getattr(read_source(), kind)) == []
