//! Tables of results, for people and for programs.

/// A table of results.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ResultTable {
    /// What was measured, and with which parameters.
    pub title: String,
    /// The names of the columns.
    pub columns: Vec<String>,
    /// The rows.
    pub rows: Vec<Vec<String>>,
}

impl ResultTable {
    /// An empty table.
    pub fn new(title: impl Into<String>, columns: &[&str]) -> ResultTable {
        let columns = columns.iter().map(|column| (*column).to_owned()).collect();
        ResultTable { title: title.into(), columns, rows: Vec::new() }
    }

    /// Adds a row.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Prints the table, as JSON or in columns.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written as JSON.
    pub fn print(&self, as_json: bool) -> eyre::Result<()> {
        if as_json {
            println!("{}", serde_json::to_string(self)?);
            return Ok(());
        }
        println!("{}", self.title);
        let all = std::iter::once(&self.columns).chain(&self.rows);
        let width = |column: usize| {
            let cells = all.clone().filter_map(|row| row.get(column));
            cells.map(String::len).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..self.columns.len()).map(width).collect();
        for row in all.clone() {
            let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:>width$}"));
            println!("  {}", cells.collect::<Vec<_>>().join("  "));
        }
        println!();
        Ok(())
    }
}
