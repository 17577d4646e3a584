"""Program `beryl-platform-entry`: an entry on the users' platform."""

import sys

import anyio

from beryljunction.errors import BerylError
from beryljunction.gateway.events import Events
from beryljunction.gateway.process import EntryProcess
from beryljunction.platform import read_host_settings

__all__ = ["main"]


def main() -> int:
    """Run an entry with the settings file that the platform names."""
    try:
        host = read_host_settings()
        events = Events(host.host, host.availability_zone)
        anyio.run(EntryProcess(host, events).run_until_signal)
    except BerylError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
