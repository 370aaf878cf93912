//! Text tables.

use std::fmt;

/// The separator between columns.
const GAP: &str = "  ";

/// Rows of text under a header, in columns of the necessary width.
#[derive(Clone, Debug)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub(crate) fn new<H>(head: H) -> Self
    where
        H: IntoIterator,
        H::Item: Into<String>,
    {
        let head = head.into_iter().map(Into::into).collect();
        Self { rows: vec![head] }
    }

    pub(crate) fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let cells = |at: usize| self.rows.iter().filter_map(move |row| row.get(at));
        (0..columns)
            .map(|at| cells(at).map(|cell| cell.chars().count()).max())
            .map(Option::unwrap_or_default)
            .collect()
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        for row in &self.rows {
            let cells = row.iter().zip(&widths);
            let padded: Vec<_> = cells.map(|(c, &width)| format!("{c:width$}")).collect();
            writeln!(f, "{}", padded.join(GAP).trim_end())?;
        }
        Ok(())
    }
}
