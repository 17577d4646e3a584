"""Soak of real entry processes: stand-ins, callers, faults and oracles."""
