"""Program `beryl-platform-entry`: an entry on the users' platform."""

import gc
import os
import sys

from beryljunction.listening import CALLERS_VARIABLE, listen_early

__all__ = ["main"]


def main() -> int:
    """Run an entry with the settings file that the platform names.

    Load: all hosts lose power, and callers wait until their processes are back. Imports make up
    most of a start. Without the garbage collector looking through what they make, they take a
    quarter less (213 to 160 ms); what was imported is left out of later collections for good.
    """
    listener = listen_early(os.environ.get(CALLERS_VARIABLE, ""))
    gc.disable()
    import anyio

    from beryljunction.errors import BerylError
    from beryljunction.gateway.events import Events
    from beryljunction.gateway.process import EntryProcess
    from beryljunction.platform import read_host_settings

    gc.freeze()
    gc.enable()
    try:
        host = read_host_settings()
        events = Events(host.host, host.availability_zone)
        anyio.run(EntryProcess(host, events, listener).run_until_signal)
    except BerylError as error:
        print(error, file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
