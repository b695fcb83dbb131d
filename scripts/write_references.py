"""Write the reference pages that are generated from the code."""

from pathlib import Path

from bronzepost._internal.settings.reference import write_settings_page
from bronzepost._internal.telemetry.reference import (
    write_events_page,
    write_metrics_page,
)

DOCS = Path(__file__).resolve().parent.parent / 'docs'

if __name__ == '__main__':
    for name, text in (
        ('events.md', write_events_page()),
        ('metrics.md', write_metrics_page()),
        ('settings.md', write_settings_page()),
    ):
        (DOCS / name).write_text(text, encoding='utf-8')
        print(f'wrote docs/{name}')
