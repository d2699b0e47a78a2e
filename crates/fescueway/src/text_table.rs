//! Formats rows of text in aligned columns.

/// Separator of two columns.
const COLUMN_GAP: &str = "  ";

/// Formats the rows with each column as wide as its widest cell. The first row is the heading.
pub(crate) fn text_table(rows: &[Vec<String>]) -> String {
    let widths = column_widths(rows);
    let mut text = String::new();
    for row in rows {
        let cells = row.iter().zip(&widths);
        let padded: Vec<_> = cells.map(|(cell, width)| pad(cell, *width)).collect();
        text += padded.join(COLUMN_GAP).trim_end();
        text += "\n";
    }
    text
}

/// The width of the widest cell of each column, in characters.
fn column_widths(rows: &[Vec<String>]) -> Vec<usize> {
    let mut widths = Vec::new();
    for row in rows {
        widths.resize(widths.len().max(row.len()), 0);
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    widths
}

/// Pads a cell with spaces on the right.
fn pad(cell: &str, width: usize) -> String {
    format!("{cell:<width$}")
}

/// A row with these cells.
pub(crate) fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.map(ToOwned::to_owned).to_vec()
}
