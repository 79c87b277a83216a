//! Differences between two manifests, as text for operators.

use std::collections;

use rosemaryusher_core::manifest;

/// Lists the differences between `current` and `wanted`, one line each.
pub fn differences(
    current: &manifest::ServiceManifest,
    wanted: &manifest::ServiceManifest,
) -> Vec<String> {
    let by_name = |manifest: &manifest::ServiceManifest| {
        let specs = manifest.services.iter();
        specs.map(|spec| (spec.name.clone(), spec.clone())).collect::<collections::BTreeMap<_, _>>()
    };
    let (current_specs, wanted_specs) = (by_name(current), by_name(wanted));
    let mut lines = Vec::new();
    if current.data_centres != wanted.data_centres {
        lines.push(format!(
            "data_centres: {:?} in force, {:?} wanted",
            current.data_centres, wanted.data_centres
        ));
    }
    for (name, spec) in &wanted_specs {
        match current_specs.get(name) {
            None => lines.push(format!("service {name:?}: wanted, not in force")),
            Some(existing) if existing == spec => {}
            Some(existing) => lines.extend(field_differences(name, existing, spec)),
        }
    }
    let removed = current_specs.keys().filter(|name| !wanted_specs.contains_key(*name));
    lines.extend(removed.map(|name| format!("service {name:?}: in force, not wanted")));
    lines
}

fn field_differences(
    name: &str,
    current: &manifest::ServiceSpec,
    wanted: &manifest::ServiceSpec,
) -> Vec<String> {
    let fields = |spec| match serde_json::to_value(spec) {
        Ok(serde_json::Value::Object(fields)) => fields,
        _ => serde_json::Map::new(),
    };
    let (current, wanted) = (fields(current), fields(wanted));
    let names: collections::BTreeSet<_> = current.keys().chain(wanted.keys()).collect();
    let null = serde_json::Value::Null;
    names
        .into_iter()
        .map(|field| {
            (field, current.get(field).unwrap_or(&null), wanted.get(field).unwrap_or(&null))
        })
        .filter(|(_, existing, new)| existing != new)
        .map(|(field, existing, new)| {
            format!("service {name:?}: {field} is {existing}, wanted {new}")
        })
        .collect()
}
