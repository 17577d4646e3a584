"""``python -m beryljunction.fuzz``: what ``make fuzz`` runs."""

import sys

from beryljunction.fuzz.machine import main

sys.exit(main())
