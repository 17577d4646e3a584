"""Limit on the bytes of concurrent request bodies at one entry, fair over accounts."""

import attrs

__all__ = ["Upload", "UploadLimiter"]


@attrs.define(eq=False)
class Upload:
    """One request body that is being received.

    Attributes:
        held_bytes: Bytes reserved for the body: its announced length, or the bytes received so far.
        received_bytes: Bytes received so far.
    """

    account: str
    held_bytes: int
    received_bytes: int = 0


class UploadLimiter:
    """Admits request bodies before they are read.

    Without a total limit, many concurrent long bodies or thousands of slow uploads would exhaust
    the entry's memory and break every answer that it relays. With a total limit only, one account
    could use all of it and block the others. So beyond its first body an account may hold at most
    its weight times the bytes that are still free (the dynamic threshold of shared-memory
    switches). One account alone gets a half, two get a third each, and some space is always left
    for another account.

    Attributes:
        limit_bytes: Most bytes of all bodies together.
        held_bytes: Bytes reserved now.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self._bytes_by_account: dict[str, int] = {}

    def begin(self, account: str, announced_bytes: int, weight: float = 1.0) -> Upload | None:
        """Admit a body, or return None if there is no room for it now.

        The full announced length is reserved at the start: a refusal halfway would waste the bytes
        that the caller has sent.
        """
        upload = Upload(account, 0)
        return upload if self._reserve(upload, announced_bytes, weight) else None

    def receive(self, upload: Upload, size_bytes: int, weight: float = 1.0) -> bool:
        """Count received bytes; return False if a body without a length exceeds the limit."""
        upload.received_bytes += size_bytes
        return self._reserve(upload, upload.received_bytes - upload.held_bytes, weight)

    def end(self, upload: Upload) -> None:
        """Release the bytes of a body, however its upload ended."""
        self.held_bytes -= upload.held_bytes
        left_bytes = self._bytes_by_account.get(upload.account, 0) - upload.held_bytes
        upload.held_bytes = 0
        if left_bytes > 0:
            self._bytes_by_account[upload.account] = left_bytes
        else:
            self._bytes_by_account.pop(upload.account, None)

    def _reserve(self, upload: Upload, more_bytes: int, weight: float) -> bool:
        if more_bytes <= 0:
            return True
        free_bytes = self.limit_bytes - self.held_bytes - more_bytes
        account_bytes = self._bytes_by_account.get(upload.account, 0)
        is_only_body = account_bytes == upload.held_bytes
        if free_bytes < 0:
            return False
        if not is_only_body and account_bytes + more_bytes > weight * free_bytes:
            return False
        self.held_bytes += more_bytes
        self._bytes_by_account[upload.account] = account_bytes + more_bytes
        upload.held_bytes += more_bytes
        return True
