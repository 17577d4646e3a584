import json
import pathlib
import re

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "beryljunction"
# Names in the platform's protocol that the project uses for nothing else.
PROTOCOL_NAMES = (
    "x-expect-instance",
    "x-server-signature",
    "x-not-executed",
    "x-server-load",
    "x-credential",
    "x-prompt-prefix",
    "x-token-counts",
    "x-deadline-ms",
    "kv-fetch",
    "path-prefix",
    "traffic-split",
    "allow-anonymous",
    "target-latency-ms",
    "api-keys",
    "cold-remaining-ms",
    "listen-addresses",
    "retry-budget-slack",
    "keyed.op",
    "keyed.servers",
    "log-newest",
)
# The adapter, and the code that simulates the platform in tests.
ALLOWED_PATHS = (
    "platform/",
    "fuzz/platform/",
    "standins/platform_",
    "local/platform.py",
)


class TestProtocolNames:
    def test_occur_only_in_the_adapter(self):
        """Otherwise a change of the platform's protocol would affect code outside the adapter."""
        found = []
        for path in SOURCE.rglob("*.py"):
            name = path.relative_to(SOURCE).as_posix()
            if name.startswith(ALLOWED_PATHS):
                continue
            text = path.read_text().lower()
            found += [
                f"{name}: {protocol_name}"
                for protocol_name in PROTOCOL_NAMES
                if re.search(re.escape(protocol_name), text)
            ]

        assert json.dumps(found) == "[]"
