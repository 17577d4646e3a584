"""Tells whether a check fails once a safeguard has been removed."""

__all__ = ["found_by"]


def found_by(check, *args):
    """Return a function that tells whether a test fails."""

    def fails():
        try:
            check(*args)
        except AssertionError:
            return True
        return False

    return fails
