"""How many bytes of request bodies one entry takes in at the same time, fair over accounts."""

import attrs

__all__ = ["Upload", "UploadSystem"]


@attrs.define(eq=False)
class Upload:
    """One body that is being received.

    Attributes:
        held_bytes: Bytes that it counts for: what was announced, or what has arrived so far.
        received_bytes: Bytes that have arrived.
    """

    account: str
    held_bytes: int
    received_bytes: int = 0


class UploadSystem:
    """Admits bodies before they are read.

    Load: very many callers that send long dossiers at once, or one account that opens thousands of
    slow uploads. Harm: without a bound over all of them the entry's memory goes first, and every
    answer that it relays with it; with a plain bound one account fills it and all others are
    refused. So an account may hold, beyond its first body, no more than its weight times what is
    still free (the dynamic threshold of shared-memory switches). One account alone gets a half,
    two get a third each, and something is always left for an account that comes later.

    Attributes:
        limit_bytes: Bytes of all bodies together.
        held_bytes: Bytes that count at the moment.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._by_account: dict[str, int] = {}

    def begin(self, account: str, announced_bytes: int, weight: float = 1.0) -> Upload | None:
        """Admit a body; None when there is no room for it now.

        A body of announced length counts whole from the start: to refuse it halfway would waste
        what its caller has sent.
        """
        upload = Upload(account, 0)
        return upload if self._hold(upload, announced_bytes, weight) else None

    def receive(self, upload: Upload, size_bytes: int, weight: float = 1.0) -> bool:
        """Count bytes that have arrived; False when a body without a length finds no more room."""
        upload.received_bytes += size_bytes
        return self._hold(upload, upload.received_bytes - upload.held_bytes, weight)

    def end(self, upload: Upload) -> None:
        """Give back what a body held, however its upload ended."""
        self.held_bytes -= upload.held_bytes
        left_bytes = self._by_account.get(upload.account, 0) - upload.held_bytes
        upload.held_bytes = 0
        if left_bytes > 0:
            self._by_account[upload.account] = left_bytes
        else:
            self._by_account.pop(upload.account, None)

    def _hold(self, upload: Upload, more_bytes: int, weight: float) -> bool:
        if more_bytes <= 0:
            return True
        free_bytes = self.limit_bytes - self.held_bytes - more_bytes
        account_bytes = self._by_account.get(upload.account, 0)
        is_only_body = account_bytes == upload.held_bytes
        if free_bytes < 0:
            return False
        if not is_only_body and account_bytes + more_bytes > weight * free_bytes:
            return False
        self.held_bytes += more_bytes
        self._by_account[upload.account] = account_bytes + more_bytes
        upload.held_bytes += more_bytes
        return True
