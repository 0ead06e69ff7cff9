"""Entry point of `python -m sassafraskeel`."""

from sassafraskeel.operators.cli import main

if __name__ == "__main__":
    main()
