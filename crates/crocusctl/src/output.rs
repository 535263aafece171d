use std::fmt::Arguments;
use std::io::Write as _;

/// Writes a line to standard output. A reader that has gone away, as the end of a pipe does, ends
/// the process without a word.
pub(crate) fn write_line(line: Arguments<'_>) {
    let mut stdout = std::io::stdout().lock();
    if writeln!(stdout, "{line}").is_err() {
        std::process::exit(0);
    }
}

/// Prints a line as `println!` does, through [`write_line`].
macro_rules! out_line {
    ($($argument:tt)*) => {
        $crate::output::write_line(format_args!($($argument)*))
    };
}

pub(crate) use out_line;
