"""``python -m ragwortkeeld``."""

from ragwortkeeld import main

main()
