//! `cache-balancer scale fit`: fits lines to the results of several runs.

use super::{write_plot, FitArguments, ScaleError};
use std::path::Path;
use std::process::ExitCode;
use testbed::scale::fit::{self, Fit};
use testbed::scale::{plot, ScaleReport};

/// Fits the results, prints the fit and returns the exit code.
pub(super) fn run(arguments: &FitArguments) -> Result<ExitCode, ScaleError> {
    let fit = fit_results(arguments)?;
    if arguments.json {
        println!("{}", serde_json::to_string(&fit).map_err(|error| ScaleError::Json("fit", error))?);
    } else {
        print!("{}", fit.text());
    }
    Ok(ExitCode::SUCCESS)
}

fn fit_results(arguments: &FitArguments) -> Result<Fit, ScaleError> {
    let results = arguments.results.iter().map(|path| read_result(path)).collect::<Result<Vec<_>, _>>()?;
    let predicted = arguments.predict.as_deref().map(read_result).transpose()?;
    let fit = fit::fit(&results, predicted.as_ref()).map_err(|error| ScaleError::Run(error.into()))?;
    if let Some(path) = &arguments.svg {
        write_plot(path, plot::fits(&fit))?;
    }
    Ok(fit)
}

fn read_result(path: &Path) -> Result<ScaleReport, ScaleError> {
    let text = std::fs::read_to_string(path).map_err(|error| ScaleError::file(path, error))?;
    ScaleReport::parse(&text).map_err(|error| ScaleError::Result { file: path.display().to_string(), error })
}
