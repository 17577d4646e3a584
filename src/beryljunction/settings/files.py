"""Reading and checking TOML settings files."""

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


def _strict(expected: type, *accepted: type) -> None:
    """Refuse values of another type instead of converting them: "12" is not 12."""

    def structure_hook(value: Any, _: type) -> Any:
        if isinstance(value, bool) and expected is not bool or not isinstance(value, accepted):
            raise TypeError(f"expected {expected.__name__}, got {type(value).__name__} {value!r}")
        return expected(value)

    converter.register_structure_hook(expected, structure_hook)


_strict(int, int)
_strict(float, int, float)
_strict(str, str)
_strict(bool, bool)


def structure(value: Any, cls: type[T], root: str) -> T:
    """Turn plain data into an attrs class.

    Raises:
        SettingsError: With one line for each problem, all at once.
    """
    try:
        return converter.structure(value, cls)
    except cattrs.BaseValidationError as error:
        lines = cattrs.transform_error(error, path=root)
        raise SettingsError(lines) from error


def load_file(path: pathlib.Path, cls: type[T]) -> T:
    """Read a TOML file as an attrs class.

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
