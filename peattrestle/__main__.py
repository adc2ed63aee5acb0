"""Entry point of `python -m peattrestle`."""

from peattrestle.cli.main import main

main()
