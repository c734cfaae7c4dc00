package io.agatelane.lab.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A plain-text table with aligned columns. */
public final class Table {
    private final List<String[]> rows = new ArrayList<>();

    public Table(String... header) {
        rows.add(header);
    }

    /** Adds a row; decimal numbers are shown with two digits after the point. */
    public Table row(Object... cells) {
        String[] texts = new String[cells.length];
        for (int i = 0; i < cells.length; i++) {
            texts[i] = cells[i] instanceof Double number
                    ? String.format(Locale.ROOT, "%.2f", number)
                    : String.valueOf(cells[i]);
        }
        rows.add(texts);
        return this;
    }

    @Override
    public String toString() {
        StringBuilder text = new StringBuilder();
        for (String[] row : rows) {
            for (int column = 0; column < row.length; column++) {
                int width = widthOf(column);
                text.append(String.format(
                        Locale.ROOT, column == 0 ? "%-" + width + "s" : "  %" + width + "s", row[column]));
            }
            text.append(System.lineSeparator());
        }
        return text.toString();
    }

    private int widthOf(int column) {
        return rows.stream().mapToInt(row -> row[column].length()).max().orElse(1);
    }
}
