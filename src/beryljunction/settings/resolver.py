"""Resolves the tree to the settings that one process uses: inheritance, defaults and origins.

The scope with the deeper level is the stronger one: a value for a service overrides one for an
account, which overrides one for a region, which overrides one for the fleet. Of two scopes with the
same deepest level, the one that also names the next deeper level is stronger.
"""

from collections.abc import Iterator
from typing import Any

import attrs

from beryljunction.settings.paths import Path, Scope
from beryljunction.settings.rules import rule_of, value_problem
from beryljunction.settings.schema import (
    AccountSettings,
    LimitSettings,
    ResolvedSettings,
    ServiceSettings,
    WeightSettings,
)
from beryljunction.settings.tree import SettingsTree

__all__ = ["Origin", "Resolver", "resolve"]


@attrs.frozen
class Origin:
    """A value and the scope that set it.

    Attributes:
        scope: Scope that set the value; None for the program's default.
        overridden: Weaker scopes that also set a value, strongest first.
    """

    value: Any
    scope: Scope | None
    overridden: tuple[Scope, ...] = ()


class Resolver:
    """Resolves the values in force in one region."""

    def __init__(self, tree: SettingsTree, region: str) -> None:
        self._region = region
        self._by_field: dict[str, dict[Scope, Any]] = {}
        self.unusable_problems: list[str] = []
        for path, value in tree.values().items():
            if path.scope.operator or path.scope.region not in ("", region):
                continue
            self._add(path, value)

    def origin(self, field: str, account: str = "", service: str = "") -> Origin | None:
        """Return the strongest value of a field and its scope; None when no scope sets it."""
        by_scope = self._by_field.get(field)
        if by_scope is None:
            return None
        matching = [s for s in _matching_scopes(self._region, account, service) if s in by_scope]
        if not matching:
            return None
        return Origin(by_scope[matching[0]], matching[0], tuple(matching[1:]))

    def services(self) -> list[str]:
        """Return the declared services: those with a `kind`."""
        return sorted({scope.service for scope in self._by_field.get("kind", {}) if scope.service})

    def accounts(self) -> list[str]:
        """Return the declared client accounts: those with a `key_sha256`."""
        scopes = self._by_field.get("key_sha256", {})
        return sorted({scope.account for scope in scopes if scope.account})

    def account_services(self) -> list[tuple[str, str]]:
        """Return the (account, service) pairs for which the account overrides a service setting."""
        account_scopes = {
            scope for by_scope in self._by_field.values() for scope in by_scope if scope.account
        }
        services = self.services()
        names = {f.name for f in attrs.fields(ServiceSettings)}
        accounts = {
            scope.account
            for scope in account_scopes
            if any(scope in self._by_field.get(name, {}) for name in names)
        }
        return [(account, service) for account in sorted(accounts) for service in services]

    def build(self, cls: type, prefix: str = "", account: str = "", service: str = "") -> Any:
        """Return an instance of a settings class, with defaults for fields that are not set."""
        values = {}
        for field in attrs.fields(cls):
            origin = self.origin(prefix + field.name, account, service)
            if origin is not None:
                value = origin.value
                values[field.name] = tuple(value) if isinstance(value, list) else value
        return cls(**values)

    def _add(self, path: Path, value: Any) -> None:
        """Add a value if this program version can use it.

        A newer program version may have published a field or a range that this one does not know.
        The value stays in the tree; here the value of the next weaker scope is used, and a value
        that is out of range is listed as unusable.
        """
        problem = value_problem(path, value)
        if problem is None:
            self._by_field.setdefault(path.field, {})[path.scope] = value
        elif rule_of(path) is not None:
            self.unusable_problems.append(problem)


def resolve(tree: SettingsTree, region: str) -> tuple[ResolvedSettings, list[str]]:
    """Return the settings of a region, and the problems of values that can't be used."""
    resolver = Resolver(tree, region)
    services = {s: resolver.build(ServiceSettings, service=s) for s in resolver.services()}
    accounts = {a: resolver.build(AccountSettings, account=a) for a in resolver.accounts()}
    view = ResolvedSettings(
        version=tree.version,
        services=services,
        accounts=accounts,
        limits=resolver.build(LimitSettings, "limits."),
        weights=resolver.build(WeightSettings, "weights."),
        account_services={
            (account, service): resolver.build(ServiceSettings, "", account, service)
            for account, service in resolver.account_services()
        },
    )
    return view, resolver.unusable_problems


def _matching_scopes(region: str, account: str, service: str) -> Iterator[Scope]:
    """Yield the scopes that apply to a region, account and service, strongest first."""
    for of_service in dict.fromkeys((service, "")):
        for of_account in dict.fromkeys((account, "")):
            for of_region in dict.fromkeys((region, "")):
                yield Scope(of_region, of_account, of_service)
