"""Program `beryl-platform-entry`: an entry on the users' platform."""

import gc
import os
import sys

from beryljunction.early_listener import EARLY_LISTEN_VARIABLE, open_early_listener

__all__ = ["main"]


def main() -> int:
    """Run an entry with the settings file that the platform names.

    Imports make up most of a start, and after a power failure of all hosts callers wait for it.
    With the garbage collector off they take 160 ms instead of 213 ms. Imported objects are then
    frozen, which excludes them from all later collections.
    """
    listener = open_early_listener(os.environ.get(EARLY_LISTEN_VARIABLE, ""))
    gc.disable()
    import anyio

    from beryljunction.errors import BerylError
    from beryljunction.gateway.events import EntryEventLog
    from beryljunction.gateway.process import EntryProcess
    from beryljunction.platform import read_host_settings

    gc.freeze()
    gc.enable()
    try:
        host = read_host_settings()
        events = EntryEventLog(host.host, host.availability_zone)
        anyio.run(EntryProcess(host, events, listener).run_until_signal)
    except BerylError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
