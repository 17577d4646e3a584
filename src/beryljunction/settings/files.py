"""Reads and validates TOML settings files."""

import pathlib
import tomllib
from typing import Any, TypeVar

import cattrs
from cattrs.strategies import configure_union_passthrough

from beryljunction.errors import SettingsError

__all__ = ["converter", "load_file", "load_toml", "structure"]

T = TypeVar("T")

converter = cattrs.Converter(forbid_extra_keys=True, detailed_validation=True)
configure_union_passthrough(str | int | float | bool | None, converter)


def _register_strict(expected: type, *accepted: type) -> None:
    """Make the converter reject values of other types: "12" is not converted to 12."""

    def structure_hook(value: Any, _: type) -> Any:
        if isinstance(value, bool) and expected is not bool or not isinstance(value, accepted):
            raise TypeError(f"expected {expected.__name__}, got {type(value).__name__} {value!r}")
        return expected(value)

    converter.register_structure_hook(expected, structure_hook)


_register_strict(int, int)
_register_strict(float, int, float)
_register_strict(str, str)
_register_strict(bool, bool)


def structure(value: Any, cls: type[T], root: str) -> T:
    """Convert plain data to an instance of an attrs class.

    Raises:
        SettingsError: With one line for each problem.
    """
    try:
        return converter.structure(value, cls)
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, path=root)
        raise SettingsError(lines) from error


def load_file(path: pathlib.Path, cls: type[T]) -> T:
    """Read a TOML file into an instance of an attrs class.

    Raises:
        SettingsError: When the file can't be read, is not TOML or does not fit the class.
    """
    return structure(load_toml(path), cls, str(path))


def load_toml(path: pathlib.Path) -> dict[str, Any]:
    """Read a TOML file as plain data.

    Raises:
        SettingsError: When the file can't be read or is not TOML.
    """
    try:
        return tomllib.loads(path.read_text("utf-8"))
    except OSError as error:
        raise SettingsError([f"{path}: expected a readable file, got {error.strerror}"]) from error
    except tomllib.TOMLDecodeError as error:
        raise SettingsError([f"{path}: expected TOML, got {error}"]) from error
