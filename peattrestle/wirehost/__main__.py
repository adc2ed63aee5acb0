"""Runs the adapter: `python -m peattrestle.wirehost`."""

from peattrestle.wirehost.host import main

raise SystemExit(main())
