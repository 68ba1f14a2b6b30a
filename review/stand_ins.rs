//! Plays one case of the review: `stand_ins CASE FOLDER TROUBLE`. Writes `record.txt` in the folder. Exits
//! with 0 if the rule held, 1 if it was broken, and 2 if the case could not run. If TROUBLE is 0, the
//! disruption is left out.

mod cases;
mod fleet;
mod http;
mod record;
mod store;
mod worker;

use std::{env, path::Path, process::ExitCode, sync::Arc};

fn main() -> ExitCode {
    let args: Vec<String> = env::args().collect();
    let [_, case, folder, trouble] = args.as_slice() else {
        eprintln!("usage: stand_ins CASE FOLDER TROUBLE");
        return ExitCode::from(2);
    };
    let has_trouble = trouble != "0";
    let result = record::Record::create(&Path::new(folder).join("record.txt"))
        .map(Arc::new)
        .and_then(|record| {
            record.line(&format!("case {case}, TROUBLE={trouble}"));
            let result = cases::run(case, has_trouble, &record);
            match &result {
                Ok(broken) if broken.is_empty() => record.line("the rule held"),
                Ok(broken) => {
                    let count = broken.len();
                    record.line(&format!("the rule was broken {count} times"));
                    broken
                        .iter()
                        .for_each(|b| record.line(&format!("BROKEN {b}")));
                }
                Err(e) => record.line(&format!("the case could not run: {e}")),
            }
            result
        });
    match result {
        Ok(broken) => {
            for text in broken.iter().take(10) {
                println!("{text}");
            }
            ExitCode::from(u8::from(!broken.is_empty()))
        }
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(2)
        }
    }
}
