"""beryl explain: explains what happened to one request, from log files."""

import pathlib
import sys

from beryljunction.cli.log_files import UnreadableLogError, read_log_lines
from beryljunction.explain import explain as explain_request

__all__ = ["explain"]


def explain(request_id: str, *logs: pathlib.Path) -> int:
    """Explain what happened to a request, from the logs of any processes in any order.

    Exit codes: 0 the request was found, 1 no line contains its id, 2 a file can't be read.

    :param request_id: Id that the caller sent with the request.
    :param logs: Log files; lines that are not events are ignored.
    """
    try:
        lines = read_log_lines(logs)
    except UnreadableLogError as error:
        print(error, file=sys.stderr)
        return 2
    explanation = explain_request(request_id, lines)
    if explanation is None:
        message = f"{request_id}: expected a line with this request id, got none in {len(lines)}"
        print(f"{message} events; pass the logs of all entries", file=sys.stderr)
        return 1
    print("\n".join(explanation.steps))
    print(f"cause: {explanation.cause}")
    return 0
