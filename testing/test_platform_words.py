import json
import pathlib
import re

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "beryljunction"
# Names on the platform's wire that nothing else is called by.
WORDS = (
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
# What plays the platform in tests speaks its words as well.
PLAYS_THE_PLATFORM = (
    "platform/",
    "fuzz/platform/",
    "standins/platform_",
    "local/platform.py",
)


class TestPlatformWords:
    def test_stand_only_in_the_adapter(self):
        """A word of the platform's wire elsewhere would make its change a change of the product."""
        found = []
        for path in SOURCE.rglob("*.py"):
            name = path.relative_to(SOURCE).as_posix()
            if name.startswith(PLAYS_THE_PLATFORM):
                continue
            text = path.read_text().lower()
            found += [f"{name}: {word}" for word in WORDS if re.search(re.escape(word), text)]

        assert json.dumps(found) == "[]"
